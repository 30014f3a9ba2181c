// Package quarantine keeps requests from targets that terminate while they process them (queries
// of death). A request is identified by the fields that determine how a target processes it. It
// is put into quarantine when targets have terminated during several of its attempts, one after
// the other, and none of its attempts has completed in between. The package performs no I/O: the
// caller passes the time, and the state of other nodes as records.
//
// An attempt is one sending of a request to one target. A strike is a termination that counts as
// evidence against the request.
package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Config sets when a request is put into quarantine and how long its state is kept.
type Config struct {
	// Strikes is the number of strikes at which a request is put into quarantine. One or two may
	// be chance for a request that runs on many targets.
	Strikes int
	// SerialStrikes is the number of strikes from which on a node allows only one attempt of the
	// request at a time.
	SerialStrikes int
	// Retention is how long a request is kept after it was last received. It is longer than a
	// caller's program takes to repeat a request after a pause.
	Retention time.Duration
	// TrialDelay is how long a request is in quarantine before one trial attempt is allowed to
	// find out whether the request is still harmful, so that a wrong quarantine ends. It is the
	// only trial: a request during which another target terminates stays in quarantine as long as
	// it is received.
	TrialDelay time.Duration
	// PropagateFor is how long a change is sent to other nodes: each gets two messages.
	PropagateFor time.Duration
	// RepeatInterval is the time between two propagations of a quarantine, for nodes that were
	// partitioned from the others when it began.
	RepeatInterval time.Duration
	// MaxEntries bounds the requests that are kept, about 300 bytes each. A termination of a
	// target with 16 attempts in progress adds 16.
	MaxEntries int
	// MaxRecordsPerMessage bounds the records in one message, 30 to 100 bytes each.
	MaxRecordsPerMessage int
}

// DefaultConfig returns the configuration for targets that take seconds to restart.
func DefaultConfig() Config {
	return Config{
		Strikes: 3, SerialStrikes: 2, Retention: 10 * time.Minute, TrialDelay: time.Minute,
		PropagateFor: 900 * time.Millisecond, RepeatInterval: 2 * time.Second, MaxEntries: 4096,
		MaxRecordsPerMessage: 24,
	}
}

// Verdict is whether an attempt of a request is allowed.
type Verdict int

// The verdicts.
const (
	// Allowed allows the attempt.
	Allowed Verdict = iota
	// SuspectInProgress refuses the attempt since this node already runs another one of the same
	// request, which has strikes; the outcome of that attempt decides.
	SuspectInProgress
	// Quarantined refuses the attempt.
	Quarantined
)

// Decision is a verdict and the state it is based on.
type Decision struct {
	Verdict Verdict
	Strikes int
	// MustCallDone means that the caller must call Done when the attempt is over.
	MustCallDone bool
	// Trial means that this is the one trial attempt of a quarantined request.
	Trial bool
	// RetryAfter is how long the verdict holds if the request isn't received again in the meantime.
	RetryAfter time.Duration
}

// Table is one node's state of the requests during which targets terminated. It is not safe for
// concurrent use.
type Table struct {
	cfg        Config
	entries    map[Fingerprint]*entry
	lastExpiry time.Time
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, entries: make(map[Fingerprint]*entry)}
}

// Len returns the number of requests in the table. While it is 0, a node need not compute
// fingerprints.
func (t *Table) Len() int { return len(t.entries) }

// Begin decides whether an attempt of a request may be sent to a target now.
func (t *Table) Begin(f Fingerprint, now time.Time) Decision {
	e, ok := t.entries[f]
	if !ok {
		return Decision{}
	}
	d := t.decide(e, now)
	switch d.Verdict {
	case Quarantined:
		if advance(&e.seen, now, 0) && now.Sub(e.changed) >= minSeenAdvance {
			e.changed = now
		}
	case Allowed:
		e.running++
		d.MustCallDone = true
		if d.Trial {
			e.trial, e.changed = now, now
		}
	case SuspectInProgress:
	}
	return d
}

func (t *Table) decide(e *entry, now time.Time) Decision {
	d := Decision{Strikes: e.strikes()}
	switch {
	case d.Strikes < t.cfg.SerialStrikes:
	case e.running > 0:
		d.Verdict, d.RetryAfter = SuspectInProgress, busyRetry
	case d.Strikes < t.cfg.Strikes:
	case t.trialDue(e, d.Strikes, now):
		d.Trial = true
	default:
		d.Verdict, d.RetryAfter = Quarantined, t.cfg.Retention
	}
	return d
}

// busyRetry is when a copy of a request that is in progress may be retried. Most targets that
// terminate because of a request do so while they read the prompt.
const busyRetry = 500 * time.Millisecond

// trialDue reports whether the trial attempt of a quarantined request may be sent.
func (t *Table) trialDue(e *entry, strikes int, now time.Time) bool {
	since := later(e.ends[len(e.ends)-1].ended, e.trial)
	return strikes == t.cfg.Strikes && now.Sub(since) >= t.cfg.TrialDelay
}

// Done ends an attempt for which Begin returned a Decision with MustCallDone set.
func (t *Table) Done(f Fingerprint) {
	if e, ok := t.entries[f]; ok && e.running > 0 {
		e.running--
	}
}

// Quarantined reports whether a request is in quarantine now.
func (t *Table) Quarantined(f Fingerprint) bool {
	e, ok := t.entries[f]
	return ok && t.inQuarantine(e)
}

func (t *Table) inQuarantine(e *entry) bool { return e.strikes() >= t.cfg.Strikes }

// RecordTermination records that a target, to which the request was sent at sent, terminated at
// ended. It returns the request's strikes.
func (t *Table) RecordTermination(f Fingerprint, target uint32, sent, ended, now time.Time) int {
	e := t.entry(f, now)
	if e.addLocalEnd(end{target: target, sent: sent, ended: ended}) {
		e.changed = now
	}
	e.seen = later(e.seen, sent)
	return e.strikes()
}

// RecordCompleted records an attempt that received a complete response. It reports whether that
// clears strikes of the request.
func (t *Table) RecordCompleted(f Fingerprint, now time.Time) bool {
	e, ok := t.entries[f]
	if !ok || !e.complete(now) {
		return false
	}
	e.changed = now
	return true
}

// MergeRecords merges records received from another node or read from the note in the store. It
// returns the requests that this puts into quarantine and those that it releases.
func (t *Table) MergeRecords(records []Record, now time.Time) (quarantined, released []Fingerprint) {
	for _, r := range records {
		if t.isExpired(r) {
			continue
		}
		e := t.entry(r.Request, now)
		before := t.inQuarantine(e)
		if e.merge(r, now) {
			e.changed = now
		}
		switch after := t.inQuarantine(e); {
		case after && !before:
			quarantined = append(quarantined, r.Request)
		case before && !after:
			released = append(released, r.Request)
		}
	}
	return quarantined, released
}

// isExpired reports whether a record is of a request that this node would already have expired.
func (t *Table) isExpired(r Record) bool {
	retention := t.cfg.Retention.Milliseconds()
	for _, e := range r.Ends {
		if e.Ended < retention {
			return false
		}
	}
	return r.Seen < 0 || r.Seen >= retention
}

// PendingRecords expires old entries and returns the records to send to the other nodes now.
func (t *Table) PendingRecords(now time.Time) []Record {
	t.expire(now)
	return t.records(now, func(e *entry) bool {
		since := now.Sub(e.changed)
		return since <= t.cfg.PropagateFor || t.inQuarantine(e) && since%t.cfg.RepeatInterval <= t.cfg.PropagateFor
	})
}

// Snapshot returns the requests in quarantine, for nodes that start later.
func (t *Table) Snapshot(now time.Time) []Record { return t.records(now, t.inQuarantine) }

func (t *Table) records(now time.Time, wanted func(*entry) bool) []Record {
	var out []Record
	for f, e := range t.entries {
		if wanted(e) {
			out = append(out, e.record(f, now))
		}
	}
	slices.SortFunc(out, byPriority)
	return out[:min(len(out), t.cfg.MaxRecordsPerMessage)]
}

// entry returns the entry of a request and creates it if there is none.
func (t *Table) entry(f Fingerprint, now time.Time) *entry {
	e, ok := t.entries[f]
	if !ok {
		t.evict()
		e = &entry{changed: now}
		t.entries[f] = e
	}
	return e
}

// expireInterval is the time between two scans for expired entries.
const expireInterval = time.Second

func (t *Table) expire(now time.Time) {
	if len(t.entries) == 0 || now.Sub(t.lastExpiry) < expireInterval {
		return
	}
	t.lastExpiry = now
	for f, e := range t.entries {
		if now.Sub(e.lastActivity()) >= t.cfg.Retention && e.running == 0 {
			delete(t.entries, f)
		}
	}
}

// evict removes a quarter of a full table: the entries with the fewest strikes, the least
// recently active first. It runs rarely, since one call frees space for many entries.
func (t *Table) evict() {
	if len(t.entries) < t.cfg.MaxEntries {
		return
	}
	type ranked struct {
		f            Fingerprint
		strikes      int
		lastActivity time.Time
	}
	all := make([]ranked, 0, len(t.entries))
	for f, e := range t.entries {
		all = append(all, ranked{f, e.strikes(), e.lastActivity()})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.strikes, b.strikes), a.lastActivity.Compare(b.lastActivity))
	})
	for _, r := range all[:(len(all)+3)/4] {
		delete(t.entries, r.f)
	}
}
