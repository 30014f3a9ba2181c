package resumption

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// maxPerReport is the maximum number of records in one report to another node, 8 bytes each.
const maxPerReport = 400

// Ledger holds what one node knows of streams and versions. It has no clock of its own: the caller
// passes the time. It is not safe for concurrent use.
type Ledger struct {
	history history
	records records
	// confirmed is when the node's list of targets was last confirmed to be the newest, as of the last
	// Update; zero for never.
	confirmed time.Time
	// sharing means that this node's records are sent to other nodes.
	sharing bool
	// queue holds the records to be sent, oldest first.
	queue []queued
	// missing means that other nodes may have records that this node missed: before it started, or while it
	// was cut off or stood still.
	missing bool
}

type queued struct {
	Entry
	at time.Time
}

// NewLedger returns the ledger of a node that has just started: it knows nothing of the past.
func NewLedger(now time.Time) *Ledger {
	return &Ledger{history: newHistory(now), records: newRecords(), missing: true}
}

// PutTarget records that a target of a service has the origin, and reports whether that is a new one for
// the service.
func (l *Ledger) PutTarget(id, service string, o Origin, now time.Time) (isNew bool) {
	return l.history.put(id, service, o, now)
}

// RemoveTarget records that a target is gone.
func (l *Ledger) RemoveTarget(id string, now time.Time) { l.history.remove(id, now) }

// Begin records that this node has delivered events of a stream that began at the origin, and reports
// whether the record is to be sent to other nodes.
func (l *Ledger) Begin(k Key, o Origin, now time.Time) (send bool) {
	before := l.records.get(k, now)
	l.records.add(k, o, true, now)
	send = l.sharing && (before.Origin == "" || before.Age >= RefreshInterval)
	if send {
		l.queue = append(l.queue, queued{Entry{k, o}, now})
	}
	return send
}

// Decide decides at which origin a stream may go on by what this node knows. current is whether its list
// of targets is, see Past.
func (l *Ledger) Decide(k Key, service string, current bool, now time.Time) Decision {
	past := Past{Origins: l.history.begunAt(service, now), Complete: l.history.isComplete(now), Current: current}
	return Decide(l.records.get(k, now), past)
}

// Update records when the node's list of targets was last confirmed to be the newest, zero for never, and
// decides whether this node's records are sent to other nodes: while the past of the services can't prove
// at what a stream began. If that begins, the records of the last Retention are due. After a time without
// confirmation the past is incomplete: targets may have come and gone meanwhile.
func (l *Ledger) Update(confirmed, now time.Time) (sharing, changed bool) {
	if now.Sub(confirmed) > MaxViewAge || confirmed.Sub(l.confirmed) > MaxViewAge && !l.confirmed.IsZero() {
		l.history.from = now
		l.history.unsettle(now)
		l.missing = true
	}
	l.confirmed = confirmed
	l.history.starting = l.history.starting && confirmed.IsZero()
	l.history.expire(now)
	sharing = !l.history.isComplete(now) || l.history.severalAnywhere(now)
	l.missing = l.missing && sharing // the others share nothing either
	changed = sharing != l.sharing
	l.sharing = sharing
	if changed {
		l.queue = nil
	}
	if changed && sharing {
		for _, e := range l.records.newest(maxPerReport, true, now) {
			l.queue = append(l.queue, queued{e, now})
		}
	}
	return sharing, changed
}

// Pending returns the packed records to be sent in a report, of those that became due within the last
// keep, in which each other node gets a report.
func (l *Ledger) Pending(keep time.Duration, now time.Time) []byte {
	l.queue = slices.DeleteFunc(l.queue, func(q queued) bool { return now.Sub(q.at) > keep })
	newest := l.queue[max(0, len(l.queue)-maxPerReport):]
	entries := make([]Entry, len(newest))
	for i, q := range newest {
		entries[i] = q.Entry
	}
	return pack(entries)
}

// Receive adds the packed records of another node and returns their number.
func (l *Ledger) Receive(packed []byte, now time.Time) (int, error) {
	entries, err := unpack(packed)
	for _, e := range entries {
		l.records.add(e.Key, e.Origin, false, now)
	}
	return len(entries), err
}

// Records returns the number of streams recorded.
func (l *Ledger) Records() int { return len(l.records.all) }

// IsComplete reports whether the node knows all origins within Retention.
func (l *Ledger) IsComplete(now time.Time) bool { return l.history.isComplete(now) }

// NeedsCopy reports whether the node needs the ledger of another one.
func (l *Ledger) NeedsCopy(now time.Time) bool { return l.missing || !l.history.isComplete(now) }

// Snapshot is what a node passes on to one that has just started.
type Snapshot struct {
	Records  []byte        `json:"records,omitempty"` // packed
	Origins  []SeenVersion `json:"origins,omitempty"`
	Complete bool          `json:"complete,omitempty"`
	// Missing means that the sender itself may have missed records.
	Missing bool `json:"missing,omitempty"`
}

// SeenVersion is an origin that targets of a service have had.
type SeenVersion struct {
	Service string `json:"service"`
	Origin  Origin `json:"origin"`
	// AgeMS is the time since the last target with it was removed, in milliseconds, 0 if there is one.
	AgeMS int64 `json:"age_ms,omitempty"`
	// Settled means that it appeared more than SettleTime ago.
	Settled bool `json:"settled,omitempty"`
}

// Snapshot returns all that this node knows.
func (l *Ledger) Snapshot(now time.Time) Snapshot {
	s := Snapshot{Records: pack(l.records.newest(maxEntries, false, now)), Complete: l.history.isComplete(now), Missing: l.missing}
	for service, all := range l.history.origins {
		for o, p := range all {
			seen := SeenVersion{Service: service, Origin: o, Settled: p.isSettled(now)}
			if p.targets == 0 {
				seen.AgeMS = now.Sub(p.lastSeen).Milliseconds()
			}
			s.Origins = append(s.Origins, seen)
		}
	}
	return s
}

// Adopt adds what another node knows.
func (l *Ledger) Adopt(s Snapshot, now time.Time) error {
	for _, v := range s.Origins {
		if v.Origin == "" || v.AgeMS < 0 || len(v.Origin) > maxOrigin {
			return errors.Newf("resumption: origin %.40q of age %d ms is out of range", string(v.Origin), v.AgeMS)
		}
	}
	if _, err := l.Receive(s.Records, now); err != nil {
		return err
	}
	for _, v := range s.Origins {
		age := time.Duration(min(v.AgeMS, 2*Retention.Milliseconds())) * time.Millisecond
		l.history.adopt(v.Service, v.Origin, now.Add(-age), v.Settled, now)
	}
	if s.Complete {
		l.history.complete(now)
	}
	return nil
}

// EndCopy records that the ledgers of other nodes were copied.
func (l *Ledger) EndCopy() { l.missing = false }

// note is the value in the store: the origins by service, for the case that all nodes end.
type note map[string]noted

// noted are the origins of a service, in ascending order.
type noted struct {
	_                 struct{} `cbor:",toarray"`
	Settled, Settling []Origin
}

// Note returns the origins that targets have had, for nodes that start when no other one is left; nil if
// this node doesn't know them all. Equal sets of origins have equal notes.
func (l *Ledger) Note(now time.Time) ([]byte, error) {
	if !l.history.isComplete(now) {
		return nil, nil
	}
	out := make(note)
	for service := range l.history.origins {
		var n noted
		settling := l.history.settling(service, now)
		for _, o := range l.history.of(service, now) {
			if slices.Contains(settling, o) {
				n.Settling = append(n.Settling, o)
			} else {
				n.Settled = append(n.Settled, o)
			}
		}
		if len(n.Settled)+len(n.Settling) > 0 {
			out[service] = n
		}
	}
	return noteMode.Marshal(out)
}

var noteMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // unreachable: the options are the library's own
	}
	return mode
}()

// ReadNote adds the origins of a note in the store. Nothing tells when the targets with them were removed,
// so that they count from now on.
func (l *Ledger) ReadNote(raw []byte, now time.Time) error {
	var n note
	if err := cbor.Unmarshal(raw, &n); err != nil {
		return errors.Wrap(err, "resumption: note")
	}
	for service, all := range n {
		for _, o := range append(slices.Clone(all.Settled), all.Settling...) {
			if o != "" && len(o) <= maxOrigin {
				l.history.adopt(service, o, now, slices.Contains(all.Settled, o), now)
			}
		}
	}
	return nil
}

// ReadNoNote records that the store has no note: no node has ever run here. The first list of targets may
// follow.
func (l *Ledger) ReadNoNote() { l.history.settle() }

// CompletePast records that the note in the store, or its absence, has shown all origins of the past.
func (l *Ledger) CompletePast(now time.Time) { l.history.complete(now) }

// Settling returns the origins of a service that have just appeared, at which streams should not begin yet.
func (l *Ledger) Settling(service string, now time.Time) []Origin {
	return l.history.settling(service, now)
}
