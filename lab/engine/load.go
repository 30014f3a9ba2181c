package engine

import "time"

// loadIntegral integrates the number of requests in flight over time, from which a time-weighted
// mean can be computed.
type loadIntegral struct {
	first, last time.Time
	value       int     // requests in flight at last
	sum         float64 // request-seconds
	peak        int     // largest value observed
}

// observe records that value requests are in flight from now on.
func (l *loadIntegral) observe(now time.Time, value int) {
	if l.first.IsZero() {
		l.first, l.last = now, now
	}
	l.sum += now.Sub(l.last).Seconds() * float64(l.value)
	l.last, l.value = now, value
	l.peak = max(l.peak, value)
}
