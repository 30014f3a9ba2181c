package load

import (
	"context"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/engine"
)

// minMeanLoad is the load an engine, in requests, below which a window doesn't
// count: a single request would make the skew there.
const minMeanLoad = 1

// skewMeter compares the engines' loads window by window. A window's skew is
// the busiest engine's request-seconds over the mean; the run's is the mean of
// the windows, weighed by their length.
type skewMeter struct {
	first, last []float64 // request-seconds of each engine since its start
	at          time.Time // end of the last window
	sum         float64   // skew times seconds
	seconds     float64
	worst       float64
}

// add ends a window with the engines' request-seconds.
func (m *skewMeter) add(at time.Time, loads []float64) {
	defer func() { m.last, m.at = loads, at }()
	if m.first == nil {
		m.first = loads
		return
	}
	window := at.Sub(m.at).Seconds()
	spent := difference(loads, m.last)
	if sum(spent) < minMeanLoad*window*float64(len(loads)) {
		return
	}
	s := maxOverMean(spent)
	m.sum += s * window
	m.seconds += window
	m.worst = max(m.worst, s)
}

func (m *skewMeter) mean() float64 {
	if m.seconds == 0 {
		return 0
	}
	return m.sum / m.seconds
}

// total is the skew of the whole run taken as one window.
func (m *skewMeter) total() float64 { return maxOverMean(difference(m.last, m.first)) }

func difference(after, before []float64) []float64 {
	d := make([]float64, len(after))
	for i := range after {
		d[i] = after[i] - before[i]
	}
	return d
}

func sum(loads []float64) float64 {
	total := 0.0
	for _, l := range loads {
		total += l
	}
	return total
}

func maxOverMean(loads []float64) float64 {
	total := sum(loads)
	if total <= 0 {
		return 0
	}
	return slices.Max(loads) * float64(len(loads)) / total
}

// sampleSkew samples the engines until ctx ends. A sample that misses an
// engine is left out, and the next window is longer.
func (r *Runner) sampleSkew(ctx context.Context) skewMeter {
	var m skewMeter
	tick := time.NewTicker(r.cfg.Window)
	defer tick.Stop()
	for {
		if loads, err := r.engineLoads(ctx); err == nil && len(loads) > 0 {
			m.add(time.Now(), loads)
		}
		select {
		case <-ctx.Done():
			return m
		case <-tick.C:
		}
	}
}

func (r *Runner) engineLoads(ctx context.Context) ([]float64, error) {
	var loads []float64
	for _, url := range r.cfg.Engines {
		var s engine.Stats
		if err := r.get(ctx, url+"/lab/stats", &s); err != nil {
			return nil, err
		}
		loads = append(loads, s.LoadSeconds)
	}
	return loads, nil
}
