package admission

import "time"

// Limits of the wait for an owner's answer.
const (
	timeoutSpread   = 4 // longest wait, as a multiple of the shortest
	breakerTrips    = 3 // failures in a row that open the breaker
	breakerMinPause = 250 * time.Millisecond
	breakerMaxPause = 2 * time.Second
)

// link is what is known of the way to another node: how long answers take
// (Jacobson's estimator, as in RFC 6298) and a circuit breaker.
type link struct {
	mean, deviation time.Duration
	failures        int
	failedAt        time.Time
	openUntil       time.Time
}

// timeout is how long to wait for an answer: the mean and four deviations,
// within [shortest, timeoutSpread × shortest]. It is the longest before the
// first answer, which includes the dial.
func (l *link) timeout(shortest time.Duration) time.Duration {
	longest := timeoutSpread * shortest
	if l.mean == 0 {
		return longest
	}
	return min(max(l.mean+4*l.deviation, shortest), longest)
}

// allow says whether to ask the node now. While the breaker is open only one
// ask in each pause goes through.
func (l *link) allow(now time.Time) bool {
	if l.failures < breakerTrips {
		return true
	}
	if now.Before(l.openUntil) {
		return false
	}
	l.openUntil = now.Add(l.pause())
	return true
}

func (l *link) pause() time.Duration {
	doublings := min(l.failures-breakerTrips, 3)
	return min(breakerMinPause<<max(doublings, 0), breakerMaxPause)
}

func (l *link) answered(took time.Duration) {
	l.failures = 0
	l.sample(took)
}

// failed records an ask without an answer. Asks that were under way together
// fail together and count as one, so that a short stall doesn't open the
// breaker; but it makes the next asks wait longer.
func (l *link) failed(began, now time.Time) {
	if l.mean > 0 {
		l.sample(now.Sub(began))
	}
	if began.Before(l.failedAt) {
		return
	}
	l.failedAt = now
	l.failures++
	if l.failures >= breakerTrips {
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
