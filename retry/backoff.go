package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff sets the pause before a retry.
type Backoff struct {
	Base time.Duration // upper limit of the first pause
	Max  time.Duration // upper limit of every pause
}

// Pause returns a random time between 0 and Base, where Base is doubled for each attempt after
// the first, up to Max (full jitter). attempt is 1 for the first failure.
func (b Backoff) Pause(attempt int, rng *rand.Rand) time.Duration {
	upper := b.Base
	for range attempt - 1 {
		if upper >= b.Max/2 {
			upper = b.Max
			break
		}
		upper *= 2
	}
	upper = min(upper, b.Max)
	if upper <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(upper) + 1))
}
