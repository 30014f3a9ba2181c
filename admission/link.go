package admission

import "time"

// Limits of the wait for an owner's answer.
const (
	timeoutSpread    = 4 // longest wait, as a multiple of the shortest
	breakerThreshold = 3 // failures in a row that open the breaker
	breakerMinPause  = 250 * time.Millisecond
	breakerMaxPause  = 2 * time.Second
)

// link holds the answer times of another node (Jacobson's estimator, as in RFC 6298) and a
// circuit breaker for calls to it.
type link struct {
	mean, deviation time.Duration
	failures        int
	failedAt        time.Time
	openUntil       time.Time
}

// timeout returns how long to wait for an answer: the mean and four deviations, within
// [shortest, timeoutSpread × shortest]. Before the first answer it is the longest, since
// that wait includes the dial.
func (l *link) timeout(shortest time.Duration) time.Duration {
	longest := timeoutSpread * shortest
	if l.mean == 0 {
		return longest
	}
	return min(max(l.mean+4*l.deviation, shortest), longest)
}

// allow reports whether to ask the node now. While the breaker is open, only one ask in each
// pause is allowed.
func (l *link) allow(now time.Time) bool {
	if l.failures < breakerThreshold {
		return true
	}
	if now.Before(l.openUntil) {
		return false
	}
	l.openUntil = now.Add(l.pause())
	return true
}

func (l *link) pause() time.Duration {
	doublings := min(l.failures-breakerThreshold, 3)
	return min(breakerMinPause<<max(doublings, 0), breakerMaxPause)
}

func (l *link) answered(took time.Duration) {
	l.failures = 0
	l.sample(took)
}

// failed records an ask without an answer. Asks that were in flight at the same time and
// fail together count as one failure, so that a short stall doesn't open the breaker; it
// does lengthen the timeout of the next asks.
func (l *link) failed(began, now time.Time) {
	if l.mean > 0 {
		l.sample(now.Sub(began))
	}
	if began.Before(l.failedAt) {
		return
	}
	l.failedAt = now
	l.failures++
	if l.failures >= breakerThreshold {
		l.openUntil = now.Add(l.pause())
	}
}

func (l *link) sample(took time.Duration) {
	if l.mean == 0 {
		l.mean, l.deviation = took, took/2
		return
	}
	diff := took - l.mean
	l.mean += diff / 8
	l.deviation += (max(diff, -diff) - l.deviation) / 4
}
