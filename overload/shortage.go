package overload

import "time"

// shortageGap is the time without a rejection that ends a shortage. It is longer than the
// pauses between rejections during a surge.
const shortageGap = time.Second

func (g *Gate) inShortage(now time.Time) bool {
	return !g.lastRejection.IsZero() && now.Sub(g.lastRejection) < shortageGap
}

func (g *Gate) recordRejection(now time.Time) {
	if !g.inShortage(now) {
		g.shortageStart = now
	}
	g.lastRejection = now
}

// RetryAfter returns the time after which a caller with the given remaining time should retry.
// A shortage that has lasted for a while will on average last for as long again, so callers are
// delayed by that time, with jitter from half to one and a half times, so that they don't all
// retry at once. The delay is limited to a third of the remaining time, because callers retry
// within that time whatever delay they are given.
func (g *Gate) RetryAfter(remaining time.Duration, now time.Time) time.Duration {
	lasted := time.Duration(0)
	if g.inShortage(now) {
		lasted = now.Sub(g.shortageStart)
	}
	after := max(lasted, g.cfg.MinRetryAfter)
	spread := g.cfg.RetrySpread * (2*g.rng.Float64() - 1)
	after = time.Duration((1 + spread) * float64(after))
	if remaining > 0 {
		after = min(after, time.Duration(g.cfg.MaxRetryFraction*float64(remaining)))
	}
	return max(after, g.cfg.MinRetryAfter/2)
}
