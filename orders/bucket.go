package orders

import "time"

// bucket is a token bucket; the caller passes the time.
type bucket struct {
	rate   float64 // tokens a second
	burst  float64
	tokens float64
	at     time.Time
}

func newBucket(rate, burst float64, now time.Time) bucket {
	return bucket{rate: rate, burst: burst, tokens: burst, at: now}
}

func (b *bucket) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+b.rate*max(0, now.Sub(b.at).Seconds()))
	b.at = now
}

// has reports whether a token is available at now.
func (b *bucket) has(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

func (b *bucket) take() { b.tokens-- }
