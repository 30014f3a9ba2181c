// Package damping implements flap damping: it puts IDs that depart and return too often into
// hold-down, for a time that doubles with each repetition up to a maximum. It does no I/O and
// reads no clock: the caller passes the time. A Damper is not safe for concurrent use.
package damping

import "time"

// Config sets when and for how long an ID is in hold-down.
type Config struct {
	// Window is the period in which departures are counted.
	Window time.Duration
	// Threshold is the number of departures within Window that starts a hold-down.
	Threshold int
	// Base is the duration of the first hold-down; each further one is twice as long, up to Max.
	Base, Max time.Duration
}

// DefaultConfig returns a configuration that starts a hold-down after three departures within two
// minutes, for 10 s at first and 5 min at most.
func DefaultConfig() Config {
	return Config{Window: 2 * time.Minute, Threshold: 3, Base: 10 * time.Second, Max: 5 * time.Minute}
}

// Damper counts departures by ID and records the hold-downs.
type Damper struct {
	cfg     Config
	records map[string]*record
}

type record struct {
	departures    []time.Time // within the window, at most Threshold-1
	holdDuration  time.Duration
	heldUntil     time.Time
	lastDeparture time.Time
}

// New returns a Damper without any IDs.
func New(cfg Config) *Damper {
	return &Damper{cfg: cfg, records: make(map[string]*record)}
}

// RecordDeparture records that id departed at now, or was replaced. If id has departed Threshold
// times within Window, it starts a hold-down or a longer one.
func (d *Damper) RecordDeparture(id string, now time.Time) {
	r, ok := d.records[id]
	if !ok {
		r = &record{}
		d.records[id] = r
	}
	r.lastDeparture = now
	r.departures = append(dropBefore(r.departures, now.Add(-d.cfg.Window)), now)
	if len(r.departures) < d.cfg.Threshold {
		return
	}
	r.departures = r.departures[:0]
	r.holdDuration = min(max(2*r.holdDuration, d.cfg.Base), d.cfg.Max)
	r.heldUntil = now.Add(r.holdDuration)
}

// HeldUntil returns when the last hold-down of id ends, or the zero time if there is none. It has
// ended if that is not after the current time.
func (d *Damper) HeldUntil(id string) time.Time {
	if r, ok := d.records[id]; ok {
		return r.heldUntil
	}
	return time.Time{}
}

// Held reports whether id is in hold-down at now.
func (d *Damper) Held(id string, now time.Time) bool { return d.HeldUntil(id).After(now) }

// Prune removes the IDs that have neither departed nor been in hold-down for Window + Max.
func (d *Damper) Prune(now time.Time) {
	limit := now.Add(-d.cfg.Window - d.cfg.Max)
	for id, r := range d.records {
		if r.lastDeparture.Before(limit) && r.heldUntil.Before(limit) {
			delete(d.records, id)
		}
	}
}

func dropBefore(times []time.Time, start time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(start) {
		i++
	}
	return times[i:]
}
