package engine

import "time"

// loadIntegral accumulates the load over time, for its time-weighted mean.
type loadIntegral struct {
	first, last time.Time
	value       int
	sum         float64 // request-seconds
	peak        int
}

func (l *loadIntegral) observe(now time.Time, value int) {
	if l.first.IsZero() {
		l.first, l.last = now, now
	}
	l.sum += now.Sub(l.last).Seconds() * float64(l.value)
	l.last, l.value = now, value
	l.peak = max(l.peak, value)
}
