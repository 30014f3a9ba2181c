// Package damping holds down what comes and goes too often, for a time that
// grows with each repetition and is bounded. It is pure: the caller passes the
// time, and one goroutine at a time may use a Damper.
package damping

import "time"

// Config sets when and for how long something is held down.
type Config struct {
	// Window is the time in which departures are counted.
	Window time.Duration
	// Threshold is the number of departures within Window that starts a hold.
	Threshold int
	// Base is the first hold; each further hold is twice as long, up to Max.
	Base, Max time.Duration
}

// DefaultConfig holds down what departed three times within two minutes, for
// 10 s at first and 5 min at most.
func DefaultConfig() Config {
	return Config{Window: 2 * time.Minute, Threshold: 3, Base: 10 * time.Second, Max: 5 * time.Minute}
}

// Damper counts departures by ID.
type Damper struct {
	cfg     Config
	records map[string]*record
}

type record struct {
	departures []time.Time // within the window, at most Threshold-1
	hold       time.Duration
	heldUntil  time.Time
	last       time.Time
}

// New returns a Damper that holds nothing.
func New(cfg Config) *Damper {
	return &Damper{cfg: cfg, records: make(map[string]*record)}
}

// Depart records that id went away at now, or was replaced. It starts a hold,
// or a longer one, if id went too often.
func (d *Damper) Depart(id string, now time.Time) {
	r, ok := d.records[id]
	if !ok {
		r = &record{}
		d.records[id] = r
	}
	r.last = now
	r.departures = append(since(r.departures, now.Add(-d.cfg.Window)), now)
	if len(r.departures) < d.cfg.Threshold {
		return
	}
	r.departures = r.departures[:0]
	r.hold = min(max(2*r.hold, d.cfg.Base), d.cfg.Max)
	r.heldUntil = now.Add(r.hold)
}

// HeldUntil returns when the hold on id ends; it has ended if that is not
// after the current time.
func (d *Damper) HeldUntil(id string) time.Time {
	if r, ok := d.records[id]; ok {
		return r.heldUntil
	}
	return time.Time{}
}

// Held says whether id is held down at now.
func (d *Damper) Held(id string, now time.Time) bool { return d.HeldUntil(id).After(now) }

// Prune forgets what has neither departed nor been held for Window + Max.
func (d *Damper) Prune(now time.Time) {
	limit := now.Add(-d.cfg.Window - d.cfg.Max)
	for id, r := range d.records {
		if r.last.Before(limit) && r.heldUntil.Before(limit) {
			delete(d.records, id)
		}
	}
}

func since(times []time.Time, start time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(start) {
		i++
	}
	return times[i:]
}
