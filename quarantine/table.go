// Package quarantine keeps requests from targets that end under them (queries of
// death). A request is told by what decides over how a target runs it. It is put into
// quarantine when targets have ended under several of its runs, one after the other, and
// none of its runs was completed meanwhile. The package is pure: the caller passes the
// time, and what other nodes know as records.
package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Config sets when a request is put into quarantine and what is kept of it.
type Config struct {
	// Strikes is the number of runs that must have ended their targets: one or two
	// may be chance for a request that is on many targets.
	Strikes int
	// Careful is the number of strikes from which on a node runs the request once at
	// a time.
	Careful int
	// Hold is how long a request stays known after it came last: longer than a caller's
	// program takes to come again after a pause.
	Hold time.Duration
	// Trial is how long a request is in quarantine before one run shows whether it is
	// still harmful, so that a wrong quarantine ends. It is the only run: a request that
	// ends another target stays in quarantine as long as it comes.
	Trial time.Duration
	// Tell is how long news is told to other nodes: each gets two messages.
	Tell time.Duration
	// Retell is the time between two tellings of a quarantine, for nodes that were cut
	// off from the others when it began.
	Retell time.Duration
	// MaxEntries bounds the requests that are remembered, about 300 bytes each. An end
	// of a target with 16 runs brings as many.
	MaxEntries int
	// MaxTold bounds the records in one message, 30 to 100 bytes each.
	MaxTold int
}

// DefaultConfig is for targets that take seconds to start again.
func DefaultConfig() Config {
	return Config{
		Strikes: 3, Careful: 2, Hold: 10 * time.Minute, Trial: time.Minute,
		Tell: 900 * time.Millisecond, Retell: 2 * time.Second, MaxEntries: 4096, MaxTold: 24,
	}
}

// Verdict says whether a request may be run.
type Verdict int

// The verdicts.
const (
	// Free allows a run.
	Free Verdict = iota
	// Busy means that a copy of the request, under which targets have ended, is being
	// run on this node; its outcome decides.
	Busy
	// Quarantined forbids a run.
	Quarantined
)

// Decision is a verdict with what it is based on.
type Decision struct {
	Verdict Verdict
	Strikes int
	// Counted says that the caller must call Done when the run is over.
	Counted bool
	// Trial says that a quarantined request is allowed one run.
	Trial bool
	// For is how long the verdict holds if the request doesn't come again meanwhile.
	For time.Duration
}

// Table is what one node knows of requests under which targets ended. One goroutine at
// a time may use it.
type Table struct {
	cfg     Config
	entries map[Fingerprint]*entry
	expired time.Time
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, entries: make(map[Fingerprint]*entry)}
}

// Len returns the number of requests known. A node that knows none need not take
// fingerprints.
func (t *Table) Len() int { return len(t.entries) }

// Begin decides whether a request may be run now.
func (t *Table) Begin(f Fingerprint, now time.Time) Decision {
	e, ok := t.entries[f]
	if !ok {
		return Decision{}
	}
	d := t.judge(e, now)
	switch d.Verdict {
	case Quarantined:
		if advance(&e.seen, now, 0) && now.Sub(e.changed) >= seenStep {
			e.changed = now
		}
	case Free:
		e.running++
		d.Counted = true
		if d.Trial {
			e.trial, e.changed = now, now
		}
	case Busy:
	}
	return d
}

func (t *Table) judge(e *entry, now time.Time) Decision {
	d := Decision{Strikes: e.strikes()}
	switch {
	case d.Strikes < t.cfg.Careful:
	case e.running > 0:
		d.Verdict, d.For = Busy, busyRetry
	case d.Strikes < t.cfg.Strikes:
	case t.trialDue(e, d.Strikes, now):
		d.Trial = true
	default:
		d.Verdict, d.For = Quarantined, t.cfg.Hold
	}
	return d
}

// busyRetry is when a copy of a request that is being run may come again: what ends a
// target mostly does so while it reads the prompt.
const busyRetry = 500 * time.Millisecond

// trialDue says whether a quarantined request may be run once.
func (t *Table) trialDue(e *entry, strikes int, now time.Time) bool {
	since := later(e.ends[len(e.ends)-1].ended, e.trial)
	return strikes == t.cfg.Strikes && now.Sub(since) >= t.cfg.Trial
}

// Done ends a run that Begin counted.
func (t *Table) Done(f Fingerprint) {
	if e, ok := t.entries[f]; ok && e.running > 0 {
		e.running--
	}
}

// Quarantined says whether a request is in quarantine now.
func (t *Table) Quarantined(f Fingerprint) bool {
	e, ok := t.entries[f]
	return ok && t.inQuarantine(e)
}

func (t *Table) inQuarantine(e *entry) bool { return e.strikes() >= t.cfg.Strikes }

// Ended notes that a target ended, at the time given, which was sent the request at sent.
// It returns the request's strikes.
func (t *Table) Ended(f Fingerprint, target uint32, sent, ended, now time.Time) int {
	e := t.entry(f, now)
	if e.observe(end{target: target, sent: sent, ended: ended}) {
		e.changed = now
	}
	e.seen = later(e.seen, sent)
	return e.strikes()
}

// Completed notes a run whose answer came whole. It returns whether that clears the
// request of strikes.
func (t *Table) Completed(f Fingerprint, now time.Time) bool {
	e, ok := t.entries[f]
	if !ok || !e.complete(now) {
		return false
	}
	e.changed = now
	return true
}

// Hear takes what another node told, or what was noted. It returns the requests that are
// in quarantine by it and were not before, and those that no longer are.
func (t *Table) Hear(records []Record, now time.Time) (put, freed []Fingerprint) {
	for _, r := range records {
		if t.outlived(r) {
			continue
		}
		e := t.entry(r.Request, now)
		before := t.inQuarantine(e)
		if e.merge(r, now) {
			e.changed = now
		}
		switch after := t.inQuarantine(e); {
		case after && !before:
			put = append(put, r.Request)
		case before && !after:
			freed = append(freed, r.Request)
		}
	}
	return put, freed
}

// outlived says whether a record is of a request that this node would have forgotten.
func (t *Table) outlived(r Record) bool {
	hold := t.cfg.Hold.Milliseconds()
	for _, e := range r.Ends {
		if e.Ended < hold {
			return false
		}
	}
	return r.Seen < 0 || r.Seen >= hold
}

// Tell returns what the other nodes should be told now.
func (t *Table) Tell(now time.Time) []Record {
	t.expire(now)
	return t.records(now, func(e *entry) bool {
		since := now.Sub(e.changed)
		return since <= t.cfg.Tell || t.inQuarantine(e) && since%t.cfg.Retell <= t.cfg.Tell
	})
}

// Note returns the requests in quarantine, for nodes that begin.
func (t *Table) Note(now time.Time) []Record { return t.records(now, t.inQuarantine) }

func (t *Table) records(now time.Time, wanted func(*entry) bool) []Record {
	var out []Record
	for f, e := range t.entries {
		if wanted(e) {
			out = append(out, e.record(f, now))
		}
	}
	slices.SortFunc(out, byWeight)
	return out[:min(len(out), t.cfg.MaxTold)]
}

// entry returns the entry of a request, a new one if it has none.
func (t *Table) entry(f Fingerprint, now time.Time) *entry {
	e, ok := t.entries[f]
	if !ok {
		t.makeRoom()
		e = &entry{changed: now}
		t.entries[f] = e
	}
	return e
}

// expirePause is the time between two looks for entries that are over.
const expirePause = time.Second

func (t *Table) expire(now time.Time) {
	if len(t.entries) == 0 || now.Sub(t.expired) < expirePause {
		return
	}
	t.expired = now
	for f, e := range t.entries {
		if now.Sub(e.newest()) >= t.cfg.Hold && e.running == 0 {
			delete(t.entries, f)
		}
	}
}

// makeRoom drops the quarter of a full table with the fewest strikes, the oldest first.
// It is seldom: one call makes room for many entries.
func (t *Table) makeRoom() {
	if len(t.entries) < t.cfg.MaxEntries {
		return
	}
	type ranked struct {
		f       Fingerprint
		strikes int
		newest  time.Time
	}
	all := make([]ranked, 0, len(t.entries))
	for f, e := range t.entries {
		all = append(all, ranked{f, e.strikes(), e.newest()})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.strikes, b.strikes), a.newest.Compare(b.newest))
	})
	for _, r := range all[:(len(all)+3)/4] {
		delete(t.entries, r.f)
	}
}
