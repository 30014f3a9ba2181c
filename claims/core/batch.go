package core

import (
	"time"

	"github.com/knapweedgw/knapweedgw/store"
)

// maxTrim is the maximum number of groups that one transaction deletes.
const maxTrim = 4

// groupsPerRetention limits the time span of a group to this fraction of the retention.
// A group is deleted as a whole, so without the limit claims would be kept far beyond
// the retention when traffic is low.
const groupsPerRetention = 16

// batch is the transaction that was sent to the store and has no result yet.
type batch struct {
	sent      Instant
	head      Head
	group     uint64 // the group that holds the records
	records   []Record
	refs      map[Ref]Reply
	openGroup []byte // Shard.openGroup after the transaction
	segments  int
	trimmed   int
}

func (b *batch) contains(r Ref) bool {
	_, ok := b.refs[r]
	return ok
}

func (b *batch) reply(r request) Reply { return b.refs[r.ref] }

// replyFromTable replies to the queued asks that need no write to the log.
func (s *Shard) replyFromTable(now Instant) {
	if !s.loaded {
		return
	}
	kept := s.queue[:0]
	for _, r := range s.queue {
		p, ok := s.tableReply(now, r)
		if !ok {
			kept = append(kept, r)
			continue
		}
		s.reply(r, p)
	}
	s.queue = kept
}

// tableReply returns the reply to an ask that needs no write; ok is false if it needs
// one. States that may still change are returned only if the table is fresh, or while
// the store is unavailable.
func (s *Shard) tableReply(now Instant, r request) (Reply, bool) {
	if r.ask == nil {
		return Reply{}, false
	}
	e, ok := s.table.Lookup(r.ask.Key)
	d, state := decide(e, ok, *r.ask)
	switch {
	case d == decideEnded:
		return Reply{Status: AttemptEnded}, true
	case d == decideClaim:
		return Reply{}, false
	case state == InProgress && s.orphaned(now, e):
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

// fresh reports whether the table was read after the request arrived, or at most
// MaxStateAge ago, and no commit has failed since in a way that calls for another read.
func (s *Shard) fresh(now Instant, r request) bool {
	return !s.stale && (r.arrived <= s.syncedAt || now-s.syncedAt <= s.cfg.MaxStateAge)
}

// noEarlierRun reports whether the log proves that no other attempt ran the request of
// an ask before the ask arrived. It returns false if the table is older than
// MaxNoEarlierRunAge.
func (s *Shard) noEarlierRun(now Instant, r request) bool {
	recent := r.arrived <= s.syncedAt || min(now, s.failingSince)-s.syncedAt <= s.cfg.MaxNoEarlierRunAge
	if r.ask == nil || !s.loaded || !recent {
		return false
	}
	e, ok := s.table.Lookup(r.ask.Key)
	return !ok || e.Phase == Free || e.Phase == Open && e.Attempt == r.ask.Attempt
}

// orphaned reports whether the holder of an open claim has died, or has held it longer
// than MaxRunTime.
func (s *Shard) orphaned(now Instant, e Entry) bool {
	age := time.Duration(s.clock(now)-e.Clock) * time.Millisecond
	return age > s.cfg.MaxRunTime || !s.alive(e.Holder)
}

// needsRead reports whether a queued ask waits for a fresher table: it needs no write,
// but replyFromTable left it in the queue because the table is too old.
func (s *Shard) needsRead(now Instant) bool {
	for _, r := range s.queue {
		if r.ask == nil || s.fresh(now, r) {
			continue
		}
		e, ok := s.table.Lookup(r.ask.Key)
		if d, _ := decide(e, ok, *r.ask); d == decideReply {
			return true
		}
	}
	return false
}

// clock returns the shard's clock in milliseconds: that of the head plus the time since
// the head was read or written. It never runs faster than real time, whichever nodes
// own the shard, and stops while no node does.
func (s *Shard) clock(now Instant) uint64 {
	return s.head.Clock + uint64(max(0, now-s.clockReadAt)/time.Millisecond)
}

// commit returns the step that writes the queued requests in one transaction.
func (s *Shard) commit(now Instant) Step {
	b := s.collect(now)
	ops, err := s.encode(b)
	if err != nil {
		s.handleStoreFailure(now)
		return Step{Kind: StepWait, Until: Forever}
	}
	s.batch = b
	s.nextCommit = now + s.cfg.Interval
	return Step{Kind: StepCommit, Txn: store.Txn{
		Compares: []store.Compare{{Key: s.keys.head, ModRevision: s.revision}},
		Ops:      ops,
	}}
}

// collect builds the next transaction from the queue. It takes at most one record per
// key, so that each record is decided against the state that it is applied to.
func (s *Shard) collect(now Instant) *batch {
	b := &batch{sent: now, head: s.head, group: s.head.Group, refs: make(map[Ref]Reply)}
	b.head.Seq++
	b.head.Clock = s.clock(now)
	b.records = append(b.records, Record{Kind: KindClock, Clock: b.head.Clock})
	included := make(map[KeyID]bool)
	for _, r := range s.queue {
		if len(b.records) > s.cfg.MaxBatch {
			break
		}
		rec, reply := record(r)
		if included[rec.Key] {
			continue
		}
		included[rec.Key] = true
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

// encode returns the store operations of a batch. They write the records as a segment
// of the open group or, if the batch closes that group, replace its segments by one
// closed group; delete groups older than the retention; and write the head.
func (s *Shard) encode(b *batch) ([]store.Op, error) {
	var segment []byte
	for _, r := range b.records {
		var err error
		if segment, err = appendRecord(segment, r); err != nil {
			return nil, err
		}
	}
	b.openGroup = append(s.openGroup[:len(s.openGroup):len(s.openGroup)], segment...)
	b.segments = s.segments + 1
	var ops []store.Op
	if s.closesGroup(b) {
		ops = append(ops,
			store.Op{Key: s.keys.closed + formatNumber(b.group), Value: b.openGroup},
			store.Op{Key: s.keys.segments, Delete: true, Prefix: true})
		b.head.Group++
		b.openGroup, b.segments = nil, 0
	} else {
		ops = append(ops, store.Op{Key: s.keys.segments + formatNumber(b.head.Seq), Value: segment})
	}
	ops = append(ops, s.trim(b)...)
	head, err := encodeHead(b.head)
	return append(ops, store.Op{Key: s.keys.head, Value: head}), err
}

// closesGroup reports whether the open group is closed with this batch, because of its
// number of segments, its size or its time span.
func (s *Shard) closesGroup(b *batch) bool {
	if b.segments >= s.cfg.GroupSegments || len(b.openGroup) >= s.cfg.GroupBytes {
		return true
	}
	limit := uint64(s.cfg.Retention/time.Millisecond) / groupsPerRetention
	return b.head.Clock-s.table.groupStart(b.group, b.head.Clock) >= limit
}

// trim returns the operations that delete the groups older than the retention, and
// updates the batch's head accordingly.
func (s *Shard) trim(b *batch) []store.Op {
	retention := uint64((s.cfg.Retention + s.cfg.GrantAge) / time.Millisecond)
	if b.head.Clock < retention {
		return nil
	}
	oldest, ok := s.table.OldestToKeep(b.group, b.head.Clock-retention, maxTrim)
	if !ok {
		return nil
	}
	var ops []store.Op
	for g := b.head.Oldest; g < oldest; g++ {
		ops = append(ops, store.Op{Key: s.keys.closed + formatNumber(g), Delete: true})
	}
	b.trimmed = len(ops)
	b.head.Oldest = oldest
	return ops
}
