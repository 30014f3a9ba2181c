package core

import (
	"time"

	"github.com/knapweedgw/knapweedgw/store"
)

// maxTrim bounds the groups that one transaction removes.
const maxTrim = 4

// groupsPerRetention bounds the age of a group, so that claims are kept
// little longer than the retention where traffic is low.
const groupsPerRetention = 16

// batch is a transaction on its way to the store.
type batch struct {
	sent     Instant
	head     Head
	group    uint64 // the group that the records belong to
	records  []Record
	refs     map[Ref]Reply
	openLog  []byte // after the transaction
	segments int
	trimmed  int
}

func (b *batch) has(r Ref) bool {
	_, ok := b.refs[r]
	return ok
}

func (b *batch) reply(r request) Reply { return b.refs[r.ref] }

// answerKnown replies to the asks that the table settles without a write.
func (s *Shard) answerKnown(now Instant) {
	if !s.loaded {
		return
	}
	kept := s.queue[:0]
	for _, r := range s.queue {
		p, ok := s.known(now, r)
		if !ok {
			kept = append(kept, r)
			continue
		}
		s.reply(r, p)
	}
	s.queue = kept
}

// known returns the reply to an ask that needs no write. What may change
// later is said only if the table is fresh, or while the store is out.
func (s *Shard) known(now Instant, r request) (Reply, bool) {
	if r.ask == nil {
		return Reply{}, false
	}
	e, ok := s.table.Lookup(r.ask.Key)
	d, state := decide(e, ok, *r.ask)
	switch {
	case d == decideClosed:
		return Reply{Status: Closed}, true
	case d == decideClaim:
		return Reply{}, false
	case state == InProgress && s.abandoned(now, e):
		state = Unknown
	}
	final := state == Granted || state == Done
	if !final && !s.fresh(now, r) && now >= s.retryAt {
		return Reply{}, false
	}
	p := Reply{State: state}
	if state == Done {
		p.Holder = e.Holder
	}
	return p, true
}

// fresh says whether the table was read since a request came, or not long
// before.
func (s *Shard) fresh(now Instant, r request) bool {
	return !s.stale && (r.arrived <= s.syncedAt || now-s.syncedAt <= s.cfg.SyncAge)
}

// clear says whether the log shows that no attempt ran the key of an ask
// before it came. A table that may be too old shows nothing.
func (s *Shard) clear(now Instant, r request) bool {
	vouched := r.arrived <= s.syncedAt || min(now, s.failedAt)-s.syncedAt <= s.cfg.VouchAge
	if r.ask == nil || !s.loaded || !vouched {
		return false
	}
	e, ok := s.table.Lookup(r.ask.Key)
	return !ok || e.Phase == Free || e.Phase == Open && e.Attempt == r.ask.Attempt
}

// abandoned says whether an open claim's holder is gone or ran too long.
func (s *Shard) abandoned(now Instant, e Entry) bool {
	age := time.Duration(s.clock(now)-e.Clock) * time.Millisecond
	return age > s.cfg.RunLimit || !s.alive(e.Holder)
}

// mustSync says whether a request waits for a fresher table: one that is
// neither a write nor answered by answerKnown.
func (s *Shard) mustSync(now Instant) bool {
	for _, r := range s.queue {
		if r.ask == nil || s.fresh(now, r) {
			continue
		}
		e, ok := s.table.Lookup(r.ask.Key)
		if d, _ := decide(e, ok, *r.ask); d == decideState {
			return true
		}
	}
	return false
}

// clock returns the shard's clock: the head's, and the time since it was
// read. It never runs faster than real time, whichever nodes own the shard,
// and stands still while nobody does.
func (s *Shard) clock(now Instant) uint64 {
	return s.head.Clock + uint64(max(0, now-s.clockFrom)/time.Millisecond)
}

// commit makes a transaction of what waits.
func (s *Shard) commit(now Instant) Step {
	b := s.collect(now)
	ops, err := s.encode(b)
	if err != nil {
		s.fail(now)
		return Step{Kind: StepWait, Until: Forever}
	}
	s.batch = b
	s.next = now + s.cfg.Interval
	return Step{Kind: StepCommit, Txn: store.Txn{
		Compares: []store.Compare{{Key: s.keys.head, ModRevision: s.revision}},
		Ops:      ops,
	}}
}

// collect picks the records of the next transaction: at most one for a key,
// so that each is decided on the state that it meets.
func (s *Shard) collect(now Instant) *batch {
	b := &batch{sent: now, head: s.head, group: s.head.Group, refs: make(map[Ref]Reply)}
	b.head.Seq++
	b.head.Clock = s.clock(now)
	b.records = append(b.records, Record{Kind: KindClock, Clock: b.head.Clock})
	taken := make(map[KeyID]bool)
	for _, r := range s.queue {
		if len(b.records) > s.cfg.MaxBatch {
			break
		}
		rec, reply := record(r)
		if taken[rec.Key] {
			continue
		}
		taken[rec.Key] = true
		b.records = append(b.records, rec)
		b.refs[r.ref] = reply
	}
	return b
}

func record(r request) (Record, Reply) {
	if r.end != nil {
		return Record{Kind: KindEnd, Key: r.end.Key, Attempt: r.end.Attempt, Outcome: r.end.Outcome},
			Reply{Status: Recorded}
	}
	return Record{
		Kind: KindClaim, Key: r.ask.Key, Attempt: r.ask.Attempt,
		Fingerprint: r.ask.Fingerprint, Holder: r.ask.Holder,
	}, Reply{State: Granted}
}

// encode returns the writes of a batch: the head, the records as a segment of
// the open group or, if they fill it, the whole group; and the removal of
// groups beyond the retention.
func (s *Shard) encode(b *batch) ([]store.Op, error) {
	var segment []byte
	for _, r := range b.records {
		var err error
		if segment, err = appendRecord(segment, r); err != nil {
			return nil, err
		}
	}
	b.openLog = append(s.openLog[:len(s.openLog):len(s.openLog)], segment...)
	b.segments = s.segments + 1
	var ops []store.Op
	if s.fills(b) {
		ops = append(ops,
			store.Op{Key: s.keys.closed + number(b.group), Value: b.openLog},
			store.Op{Key: s.keys.segments, Delete: true, Prefix: true})
		b.head.Group++
		b.openLog, b.segments = nil, 0
	} else {
		ops = append(ops, store.Op{Key: s.keys.segments + number(b.head.Seq), Value: segment})
	}
	ops = append(ops, s.trim(b)...)
	head, err := encodeHead(b.head)
	return append(ops, store.Op{Key: s.keys.head, Value: head}), err
}

// fills says whether a batch closes the open group.
func (s *Shard) fills(b *batch) bool {
	if b.segments >= s.cfg.GroupSegments || len(b.openLog) >= s.cfg.GroupBytes {
		return true
	}
	limit := uint64(s.cfg.Retention/time.Millisecond) / groupsPerRetention
	return b.head.Clock-s.table.started(b.group, b.head.Clock) >= limit
}

// trim removes the oldest groups whose claims are beyond the retention.
func (s *Shard) trim(b *batch) []store.Op {
	retention := uint64((s.cfg.Retention + s.cfg.GrantAge) / time.Millisecond)
	if b.head.Clock < retention {
		return nil
	}
	oldest, ok := s.table.Expired(b.group, b.head.Clock-retention, maxTrim)
	if !ok {
		return nil
	}
	var ops []store.Op
	for g := b.head.Oldest; g < oldest; g++ {
		ops = append(ops, store.Op{Key: s.keys.closed + number(g), Delete: true})
	}
	b.trimmed = len(ops)
	b.head.Oldest = oldest
	return ops
}
