// Package returns chooses the Retry-After of refused callers, so that they come back when a
// service has room for them. It is pure: the clock and the random source are passed in.
package returns

import (
	"math/rand/v2"
	"time"
)

// Config sets the bounds of return times.
type Config struct {
	// Min is the shortest return time, and MaxFraction the longest as a fraction of the caller's
	// remaining time: callers come back after that time whatever they are told.
	Min         time.Duration
	MaxFraction float64
}

// DefaultConfig returns the bounds for callers that honour Retry-After up to a third of the time
// that they have left.
func DefaultConfig() Config { return Config{Min: 75 * time.Millisecond, MaxFraction: 1.0 / 3} }

// Schedule hands out return times.
type Schedule struct {
	cfg Config
	rng *rand.Rand
}

// New returns an empty schedule.
func New(cfg Config, rng *rand.Rand) *Schedule { return &Schedule{cfg: cfg, rng: rng} }

// Next returns the return time of a caller of the given urgency that is refused at now. perSecond is
// the expected number of returning callers that can be served a second; remaining is the caller's
// time left, 0 for no limit.
func (s *Schedule) Next(now time.Time, urgency int, perSecond float64, remaining time.Duration) time.Duration {
	return s.cfg.Min
}
