// Package quarantine keeps requests from targets that terminate while they process them (queries
// of death). What is harmful is a whole request, identified by the fields that determine how a target
// processes it, or a part of its prompt that it shares with other requests. Either is put into
// quarantine when targets have terminated during several of its attempts, one after the other, none
// of them has succeeded in between, and nothing else explains the terminations. The package performs
// no I/O: the caller passes the time, and the state of other nodes as records.
//
// An attempt is one sending of a request to one target. A strike is a termination that counts as
// evidence against a request or a part.
package quarantine

import (
	"slices"
	"time"
)

// Config sets when a request is put into quarantine and how long its state is kept.
type Config struct {
	// Strikes is the number of strikes at which a request is put into quarantine. One or two may
	// be chance for a request that runs on many targets.
	Strikes int
	// UnclearStrikes is the number for a part if other targets terminated without it in the meantime, since its
	// own strikes may be due to the same cause as those, if another part was at all of them, and for one that was
	// answered before.
	UnclearStrikes int
	// SerialStrikes is the number of strikes from which on a node allows only one attempt of the
	// request at a time. From it on, strikes are also part of snapshots, and an answer that clears them is
	// told at once.
	SerialStrikes int
	// Retention is how long a request is kept after it was last received. It is longer than a
	// caller's program takes to repeat a request after a pause.
	Retention time.Duration
	// TrialDelay is how long a request is in quarantine before one trial attempt is allowed to
	// find out whether the request is still harmful, so that a wrong quarantine ends. It is the
	// only trial: a request during which another target terminates stays in quarantine as long as
	// it is received.
	TrialDelay time.Duration
	// TrialStep is how much later the next node, in an order of all nodes, may send the trial attempt:
	// longer than the nodes take to learn that one was sent.
	TrialStep time.Duration
	// BeginTime is how long after the first bytes of the body of an answer a target may still terminate
	// because it writes an answer on that prompt.
	BeginTime time.Duration
	// SettleTime is how long after its last strike a part is put into quarantine, so that other nodes
	// can report that it was answered, or what else was in progress at the same terminations.
	SettleTime time.Duration
	// PropagateFor is how long a change is sent to other nodes: each gets two messages.
	PropagateFor time.Duration
	// RepeatInterval is the time between two propagations of a quarantine, for nodes that were
	// partitioned from the others when it began.
	RepeatInterval time.Duration
	// MaxEntries bounds the requests and parts that are kept, about 300 bytes each. A termination of a
	// target with 16 attempts in progress adds 16 requests, and the parts of those that had not begun.
	MaxEntries int
	// MaxRecordsPerMessage bounds the records in one message, 30 to 100 bytes each. Of more, those with the most
	// strikes are sent; MaxAnsweredPerMessage of them may be of what was answered since.
	MaxRecordsPerMessage, MaxAnsweredPerMessage int
}

// DefaultConfig returns the configuration for targets that take seconds to restart.
func DefaultConfig() Config {
	return Config{
		Strikes: 3, UnclearStrikes: 5, SerialStrikes: 2, Retention: 10 * time.Minute, TrialDelay: time.Minute, TrialStep: 500 * time.Millisecond,
		BeginTime: 200 * time.Millisecond, SettleTime: 300 * time.Millisecond,
		PropagateFor: 900 * time.Millisecond, RepeatInterval: 2 * time.Second, MaxEntries: 4096,
		MaxRecordsPerMessage: 24, MaxAnsweredPerMessage: 8,
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
	// Cause is the request or the part that decided, zero if the attempt is allowed.
	Cause   Fingerprint
	Strikes int
	// MustCallDone means that the caller must call Done when the attempt is over.
	MustCallDone bool
	// Trial means that this is the one trial attempt of what is in quarantine.
	Trial bool
	// RetryAfter is how long the verdict holds if the request isn't received again in the meantime.
	RetryAfter time.Duration
}

// Table is one node's state of the requests and prompt parts during which targets terminated. It is
// not safe for concurrent use.
type Table struct {
	cfg        Config
	entries    map[Fingerprint]*entry
	lastExpiry time.Time
	// accused are the entries with enough strikes for a quarantine; stale means that they are to be judged again.
	accused map[Fingerprint]*entry
	stale   bool
	// answers are the latest to requests that have no entry. A termination may become known later than they.
	answers answerLog
	// snapshotDue means that something has come close to a quarantine since that was last asked.
	snapshotDue bool
	// terminations are the latest ones known, in the order in which they became known.
	terminations []termination
	// position returns this node's position, from 0, in the order in which nodes may send a trial attempt.
	position func(Fingerprint) int
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg: cfg, entries: make(map[Fingerprint]*entry), accused: make(map[Fingerprint]*entry),
		position: func(Fingerprint) int { return 0 },
	}
}

// Len returns the number of requests and parts in the table. While it is 0, a node need not compute
// fingerprints.
func (t *Table) Len() int { return len(t.entries) }

// Begin decides whether an attempt of a request may be sent to a target now: not if the request or
// a part of its prompt is in quarantine.
func (t *Table) Begin(k Keys, now time.Time) Decision {
	var d Decision
	k.each(func(f Fingerprint) {
		if e, ok := t.entries[f]; ok {
			d = d.combine(t.decide(f, e, now))
		}
	})
	switch d.Verdict {
	case Quarantined:
		t.recordSeen(k, now)
	case Allowed:
		t.recordAttempt(k, &d, now)
	case SuspectInProgress:
	}
	return d
}

// combine returns the stricter of two decisions.
func (d Decision) combine(other Decision) Decision {
	trial := d.Trial || other.Trial
	if other.Verdict > d.Verdict || other.Verdict == d.Verdict && other.Strikes > d.Strikes {
		d = other
	}
	d.Trial = trial && d.Verdict == Allowed
	return d
}

// recordSeen records that a request with something in quarantine was received.
func (t *Table) recordSeen(k Keys, now time.Time) {
	k.each(func(f Fingerprint) {
		e, ok := t.entries[f]
		if ok && t.inQuarantine(e) && advance(&e.seen, now, 0) && now.Sub(e.changed) >= minSeenAdvance {
			e.changed = now
		}
	})
}

// recordAttempt records that an attempt is sent.
func (t *Table) recordAttempt(k Keys, d *Decision, now time.Time) {
	if d.Trial {
		t.recordTrial(k, now)
	}
	if e, ok := t.entries[k.Request]; ok {
		e.running++
		d.MustCallDone = true
	}
}

// recordTrial records that an attempt is sent as the trial of everything whose trial is due.
func (t *Table) recordTrial(k Keys, now time.Time) {
	k.each(func(f Fingerprint) {
		if e, ok := t.entries[f]; ok && t.decide(f, e, now).Trial {
			e.trial, e.changed = now, now
		}
	})
}

func (t *Table) decide(f Fingerprint, e *entry, now time.Time) Decision {
	d := Decision{Strikes: e.strikeCount}
	switch {
	case !e.part && d.Strikes >= t.cfg.SerialStrikes && e.running > 0:
		d.Verdict, d.Cause, d.RetryAfter = SuspectInProgress, f, busyRetry
	case !t.inQuarantine(e) || e.part && now.Sub(e.convictedAt) < t.cfg.SettleTime:
	case t.trialDue(f, e, now):
		d.Trial = true
	default:
		d.Verdict, d.Cause, d.RetryAfter = Quarantined, f, t.cfg.Retention
	}
	return d
}

// busyRetry is when a copy of a request that is in progress may be retried. Most targets that
// terminate because of a request do so while they read the prompt.
const busyRetry = 500 * time.Millisecond

// trialDue reports whether this node may send the trial attempt of what is in quarantine. There is none after
// one under which a target ended.
func (t *Table) trialDue(f Fingerprint, e *entry, now time.Time) bool {
	last := e.ends[len(e.ends)-1]
	if !e.trial.IsZero() && !last.sent.Before(e.trial) {
		return false
	}
	overdue := now.Sub(later(last.ended, e.trial)) - t.cfg.TrialDelay
	return overdue >= 0 && overdue >= time.Duration(t.position(f))*t.cfg.TrialStep
}

// Done ends an attempt for which Begin returned a Decision with MustCallDone set.
func (t *Table) Done(k Keys) {
	if e, ok := t.entries[k.Request]; ok && e.running > 0 {
		e.running--
	}
}

// Quarantined reports whether a request or a part is in quarantine now.
func (t *Table) Quarantined(f Fingerprint) bool {
	e, ok := t.entries[f]
	return ok && t.inQuarantine(e)
}

func (t *Table) inQuarantine(e *entry) bool {
	t.judge()
	return e.convicted
}

// judge decides anew what is in quarantine if strikes have changed.
func (t *Table) judge() {
	if !t.stale {
		return
	}
	t.stale = false
	all := make([]ranked, 0, len(t.accused))
	for f, e := range t.accused {
		all = append(all, ranked{f, e})
	}
	convict(all, t.terminations, t.cfg)
}

// update counts the strikes of an entry whose ends or answers have changed.
func (t *Table) update(f Fingerprint, e *entry) {
	strikes := e.strikes()
	t.snapshotDue = t.snapshotDue || e.strikeCount < t.cfg.SerialStrikes && strikes >= t.cfg.SerialStrikes
	e.strikeCount = strikes
	_, isAccused := t.accused[f]
	switch {
	case strikes >= t.cfg.Strikes:
		t.accused[f] = e
	case isAccused:
		delete(t.accused, f)
		e.convicted = false
	default:
		return
	}
	t.stale = true
}

// takeSnapshotDue reports whether something has come close to a quarantine since the last call.
func (t *Table) takeSnapshotDue() bool {
	due := t.snapshotDue
	t.snapshotDue = false
	return due
}

// remove removes an entry.
func (t *Table) remove(f Fingerprint) {
	delete(t.entries, f)
	if _, ok := t.accused[f]; ok {
		delete(t.accused, f)
		t.stale = true
	}
}

// RecordTermination records that a target, to which a request with f was sent at sent, terminated at
// ended. It returns the strikes against f.
func (t *Table) RecordTermination(f Fingerprint, target uint32, sent, ended, now time.Time) int {
	e := t.entry(f, now)
	if e.addLocalEnd(end{target: target, sent: sent, ended: ended}) {
		e.changed = now
	}
	t.addTermination(termination{target, ended})
	e.seen = later(e.seen, sent)
	t.update(f, e)
	return e.strikeCount
}

// maxTerminations bounds the terminations that are kept: more than are known of any part.
const maxTerminations = 4 * maxEnds

// addTermination adds a termination unless it is known.
func (t *Table) addTermination(n termination) {
	if slices.ContainsFunc(t.terminations, n.same) {
		return
	}
	if len(t.terminations) == maxTerminations {
		t.terminations = slices.Delete(t.terminations, 0, 1)
	}
	t.terminations = append(t.terminations, n)
	t.stale = true
}

// RecordAnswered records an attempt that shows that f doesn't end targets: a request that received a
// complete response, or a part of a prompt on which a target has written an answer. It reports
// whether the other nodes must know at once, since that clears nearly enough strikes for a quarantine. Most
// terminations are strikes against parts that each node clears within a moment.
func (t *Table) RecordAnswered(f Fingerprint, now time.Time) (urgent bool) {
	e, ok := t.entries[f]
	if !ok {
		t.answers.add(f, now)
		return false
	}
	if !e.complete(now) {
		return false
	}
	urgent = e.strikeCount >= t.cfg.SerialStrikes
	e.changed = now
	t.update(f, e)
	return urgent
}

// MergeRecords merges records received from another node or read from the note in the store. It
// returns what this puts into quarantine and what it releases.
func (t *Table) MergeRecords(records []Record, now time.Time) (quarantined, released []Fingerprint) {
	before := t.convictedSet()
	for _, r := range records {
		if t.isExpired(r) {
			continue
		}
		e := t.entry(r.Request, now)
		if e.answeredSince(r, now) {
			e.changed = now // the sender has missed the answer
		}
		if !e.merge(r, now) {
			continue
		}
		e.changed = now
		t.update(r.Request, e)
		for _, end := range e.ends {
			t.addTermination(termination{end.target, end.ended})
		}
	}
	return t.changedSince(before)
}

// convictedSet returns what is in quarantine, nil for nothing.
func (t *Table) convictedSet() map[Fingerprint]bool {
	t.judge()
	var set map[Fingerprint]bool
	for f, e := range t.accused {
		if e.convicted {
			if set == nil {
				set = make(map[Fingerprint]bool)
			}
			set[f] = true
		}
	}
	return set
}

// changedSince returns what was put into quarantine and what was released since it was the given set.
func (t *Table) changedSince(before map[Fingerprint]bool) (quarantined, released []Fingerprint) {
	after := t.convictedSet()
	for f := range after {
		if !before[f] {
			quarantined = append(quarantined, f)
		}
	}
	for f := range before {
		if !after[f] {
			released = append(released, f)
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

// Snapshot returns what is in quarantine or close to it, for nodes that start later.
func (t *Table) Snapshot(now time.Time) []Record {
	return t.records(now, func(e *entry) bool { return t.inQuarantine(e) || e.strikeCount >= t.cfg.SerialStrikes })
}

// records returns the wanted entries as records, as many as a message holds.
func (t *Table) records(now time.Time, wanted func(*entry) bool) []Record {
	var struck, answered []ranked
	for f, e := range t.entries {
		if !wanted(e) {
			continue
		}
		if e.strikeCount > 0 {
			struck = append(struck, ranked{f, e})
		} else {
			answered = append(answered, ranked{f, e})
		}
	}
	slices.SortFunc(struck, ranked.compare)
	slices.SortFunc(answered, ranked.compare)
	reserved := min(len(answered), t.cfg.MaxAnsweredPerMessage)
	struck = struck[:min(len(struck), t.cfg.MaxRecordsPerMessage-reserved)]
	answered = answered[:min(len(answered), t.cfg.MaxRecordsPerMessage-len(struck))]
	out := make([]Record, 0, len(struck)+len(answered))
	for _, r := range slices.Concat(struck, answered) {
		out = append(out, r.e.record(r.f, now))
	}
	return out
}

// entry returns the entry of a request or a part and creates it if there is none.
func (t *Table) entry(f Fingerprint, now time.Time) *entry {
	e, ok := t.entries[f]
	if !ok {
		t.evict()
		e = &entry{changed: now, part: f.IsPart(), completed: t.answers.last(f)}
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
			t.remove(f)
		}
	}
}

// evict removes a quarter of a full table: the entries with the fewest strikes, the least
// recently active first. It runs rarely, since one call frees space for many entries.
func (t *Table) evict() {
	if len(t.entries) < t.cfg.MaxEntries {
		return
	}
	all := make([]ranked, 0, len(t.entries))
	for f, e := range t.entries {
		all = append(all, ranked{f, e})
	}
	slices.SortFunc(all, func(a, b ranked) int { return b.compare(a) })
	for _, r := range all[:(len(all)+3)/4] {
		t.remove(r.f)
	}
}
