package cell

import (
	"math"
	"time"
)

// The pool's load is sampled each trendStep, and its decline is computed over the last
// trendSteps samples.
const (
	trendStep  = time.Second
	trendSteps = 5
	// forecastHorizon is how far ahead a decline is extrapolated: about as long as an engine at
	// its bound takes to follow the falling mean.
	forecastHorizon = 7 * time.Second
	// A decline of up to noiseFactor times the standard deviation of the difference of two
	// Poisson counts is treated as noise.
	noiseFactor = 1.5
)

// trend extrapolates a decline of the pool's load. When the mean falls fast, for example at
// the end of a surge, targets that were filled to the old bound would otherwise be left far
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

// forecast returns the share of the present mean that is expected to remain after
// forecastHorizon. It is at most 1, since a rise is never extrapolated, and at least 0.5.
func (t *trend) forecast() float64 {
	if t.n < len(t.samples) || t.samples[0] == 0 {
		return 1
	}
	first := float64(t.samples[0])
	fall := 1 - float64(t.samples[trendSteps])/first - noiseFactor*math.Sqrt(2/first)
	rate := fall / (trendSteps * trendStep.Seconds())
	return 1 - min(max(rate, 0)*forecastHorizon.Seconds(), 0.5)
}
