package load

import (
	"context"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/engine"
)

// minMeanLoad is the mean load per engine, in concurrent requests, below which a window is ignored:
// in such a window a single request would determine the skew.
const minMeanLoad = 1

// skewMeter compares the loads of the engines per window, the time between two samples. A window's
// skew is the request-seconds of the busiest engine divided by the mean of all engines; the skew of
// the run is the mean over its windows, weighted by their length.
type skewMeter struct {
	first, last []float64 // request-seconds of each engine since its start: first and latest sample
	at          time.Time // end of the last window
	sum         float64   // sum of skew times window length in seconds
	seconds     float64   // total length of the counted windows
	worst       float64   // highest skew of a counted window
}

// add ends a window with a sample of the engines' request-seconds.
func (m *skewMeter) add(at time.Time, loads []float64) {
	defer func() { m.last, m.at = loads, at }()
	if m.first == nil {
		m.first = loads
		return
	}
	window := at.Sub(m.at).Seconds()
	windowLoads := difference(loads, m.last)
	if sum(windowLoads) < minMeanLoad*window*float64(len(loads)) {
		return
	}
	s := maxOverMean(windowLoads)
	m.sum += s * window
	m.seconds += window
	m.worst = max(m.worst, s)
}

// mean returns the time-weighted mean skew; 0 if no window counts.
func (m *skewMeter) mean() float64 {
	if m.seconds == 0 {
		return 0
	}
	return m.sum / m.seconds
}

// total returns the skew of the whole run, taken as one window.
func (m *skewMeter) total() float64 { return maxOverMean(difference(m.last, m.first)) }

// difference returns after - before for each engine.
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

// maxOverMean returns the highest load divided by the mean load; 0 without load.
func maxOverMean(loads []float64) float64 {
	total := sum(loads)
	if total <= 0 {
		return 0
	}
	return slices.Max(loads) * float64(len(loads)) / total
}

// sampleSkew samples the engines every Window until ctx is done. A sample in which an engine can't
// be read is skipped, which makes the next window longer.
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

// engineLoads returns the request-seconds of each engine since its start.
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
