package cell

import "time"

// Announcer decides when an owner sends its cell's totals to the owners of the pool's other
// cells: soon after a large change, otherwise at a long interval.
type Announcer struct {
	MaxInterval time.Duration // longest time between two announcements
	MinInterval time.Duration // shortest time

	last Totals
	at   time.Time
}

// Defaults of an Announcer.
const (
	DefaultMaxInterval = 5 * time.Second
	DefaultMinInterval = 500 * time.Millisecond
	// minRelativeChange is the share of the last announced requests in flight, and
	// minAbsoluteChange the number of requests, by which the totals must change to be announced
	// before the longest interval has passed.
	minRelativeChange = 0.08
	minAbsoluteChange = 4
)

// Due reports whether to announce t now; if so, it records t as announced.
func (a *Announcer) Due(now time.Time, t Totals) bool {
	age := now.Sub(a.at)
	switch {
	case a.at.IsZero(), age >= orDefault(a.MaxInterval, DefaultMaxInterval):
	case age >= orDefault(a.MinInterval, DefaultMinInterval) && a.changed(t):
	default:
		return false
	}
	a.last, a.at = t, now
	return true
}

func (a *Announcer) changed(t Totals) bool {
	diff := t.InFlight - a.last.InFlight
	diff = max(diff, -diff)
	return t.Capacity != a.last.Capacity || diff >= minAbsoluteChange && float64(diff) > minRelativeChange*float64(a.last.InFlight)
}
