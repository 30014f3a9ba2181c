package cell

import (
	"math"
	"time"
)

// The pool's load is sampled each trendStep, and its decline is taken over the
// last trendSteps samples.
const (
	trendStep  = time.Second
	trendSteps = 5
	// horizon is how far ahead a decline is carried on: about as long as an
	// engine at its bound takes to follow the mean down.
	horizon = 7 * time.Second
	// noiseFactor times the standard deviation of the difference of two Poisson
	// counts is taken for noise.
	noiseFactor = 1.5
)

// trend follows the pool's load, so that a fast fall of the mean, such as the
// end of a surge, doesn't leave targets that were filled to the old bound far
// above the new mean.
type trend struct {
	last    time.Time
	samples [trendSteps + 1]int // oldest first, once full
	n       int
}

// observe samples the number of requests in flight in the pool.
func (t *trend) observe(now time.Time, inFlight int) {
	if t.n > 0 && now.Sub(t.last) < trendStep {
		return
	}
	if now.Sub(t.last) > 2*trendStep {
		t.n = 0 // too old to compare
	}
	t.last = now
	if t.n == len(t.samples) {
		copy(t.samples[:], t.samples[1:])
		t.n--
	}
	t.samples[t.n] = inFlight
	t.n++
}

// forecast is the share of the present mean that is left after the horizon.
// It is at most 1: a rise is never carried on.
func (t *trend) forecast() float64 {
	if t.n < len(t.samples) || t.samples[0] == 0 {
		return 1
	}
	first := float64(t.samples[0])
	fall := 1 - float64(t.samples[trendSteps])/first - noiseFactor*math.Sqrt(2/first)
	rate := fall / (trendSteps * trendStep.Seconds())
	return 1 - min(max(rate, 0)*horizon.Seconds(), 0.5)
}
