package cell

import "time"

// Announcer decides when an owner tells the pool's other owners the totals of
// its cells: at once when they change much, else seldom.
type Announcer struct {
	Quiet time.Duration // longest time between two announcements
	Gap   time.Duration // shortest time

	last Totals
	at   time.Time
}

// Defaults of an Announcer.
const (
	DefaultQuiet = 5 * time.Second
	DefaultGap   = 500 * time.Millisecond
	// muchChange is the share of the requests in flight, and fewChange the
	// least number, by which the totals must change to be announced early.
	muchChange = 0.08
	fewChange  = 4
)

// Due says whether to announce t now, and if so takes it as announced.
func (a *Announcer) Due(now time.Time, t Totals) bool {
	age := now.Sub(a.at)
	switch {
	case a.at.IsZero(), age >= orDefault(a.Quiet, DefaultQuiet):
	case age >= orDefault(a.Gap, DefaultGap) && a.changed(t):
	default:
		return false
	}
	a.last, a.at = t, now
	return true
}

func (a *Announcer) changed(t Totals) bool {
	diff := t.InFlight - a.last.InFlight
	diff = max(diff, -diff)
	return t.Capacity != a.last.Capacity || diff >= fewChange && float64(diff) > muchChange*float64(a.last.InFlight)
}
