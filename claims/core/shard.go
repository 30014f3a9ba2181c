package core

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

// Config holds the limits of a Shard.
type Config struct {
	// Interval is the minimum time between two transactions of an owner.
	Interval time.Duration
	// Retention is how long a claim is kept. A request whose key is repeated within
	// this time is not run again.
	Retention time.Duration
	// GrantAge is the longest time from a ClaimRequest to the use of its grant. It is added to
	// Retention, which counts from the clock of the claim's record: that is not earlier
	// than the ClaimRequest, but may be earlier than the use of the grant.
	GrantAge time.Duration
	// MaxStateAge is the age of the table above which the log is read again before a
	// reply with InProgress, Unknown or Mismatch, which may change. Granted and Done
	// are final and returned from an older table, too.
	MaxStateAge time.Duration
	// MaxNoEarlierRunAge is the age of the table up to which a refusal may set Reply.NoEarlierRun.
	// With 0 the table must have been read after the request arrived. While the store
	// is unavailable, the age is that at its first failure.
	MaxNoEarlierRunAge time.Duration
	// MaxRunTime is the age above which an open claim is reported as Unknown.
	MaxRunTime time.Duration
	// Backoff is the pause after a failed call to the store. Requests that need the
	// store during the pause are refused at once.
	Backoff time.Duration
	// GroupSegments and GroupBytes are the number of segments and their total size at
	// which the open group is closed.
	GroupSegments int
	GroupBytes    int
	// MaxBatch is the maximum number of requests recorded in one transaction.
	MaxBatch int
}

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{
		Interval:           140 * time.Millisecond,
		Retention:          15 * time.Minute,
		GrantAge:           DefaultAttemptLimits().Life,
		MaxStateAge:        time.Second,
		MaxNoEarlierRunAge: 2 * time.Second,
		MaxRunTime:         5 * time.Minute,
		Backoff:            500 * time.Millisecond,
		GroupSegments:      64,
		GroupBytes:         256 << 10,
		MaxBatch:           2000,
	}
}

// Ref is chosen by the caller of Ask and End to match the reply to its request.
type Ref uint64

// request is a queued ClaimRequest or OutcomeRecord; exactly one of ask and end is set.
type request struct {
	ref     Ref
	ask     *ClaimRequest
	end     *OutcomeRecord
	arrived Instant
	expires Instant
	// mayBeRecorded is set when a transaction with the request's record failed in a
	// way that leaves open whether it took effect.
	mayBeRecorded bool
}

// RefReply is the reply to the request with the Ref.
type RefReply struct {
	Ref   Ref
	Reply Reply
}

// StepKind is the kind of a Step.
type StepKind int

// The kinds of steps.
const (
	// StepWait means that Next is to be called at Until, or when a request arrives.
	StepWait StepKind = iota
	// StepRead means that Prefix is to be listed and the page passed to Loaded.
	StepRead
	// StepCommit means that Txn is to be committed and the result passed to Committed.
	StepCommit
)

// Step is the next action that the caller carries out for a Shard.
type Step struct {
	Kind   StepKind
	Until  Instant
	Prefix string
	Txn    store.Txn
}

// Counts counts the events of a Shard since NewShard.
type Counts struct {
	Commits, Conflicts, Uncertain, Failures int
	Reads, FullReads                        int
	Records, TrimmedGroups                  int
}

// Liveness reports whether the node process that holds a claim may still be running.
type Liveness func(Holder) bool

// Shard decides the claims of one shard as an owner of its log. Several nodes may own
// the same shard at the same time: a transaction takes effect only if no other owner
// wrote since this one read the log, and a claim is granted only once its record is in
// the log. A Shard is not safe for concurrent use.
type Shard struct {
	cfg   Config
	keys  layout
	alive Liveness

	table         *Table
	head          Head
	revision      int64   // of the head in the store; 0 if it doesn't exist
	openGroup     []byte  // the concatenated segments of the open group
	segments      int     // number of segments in openGroup
	loaded        bool    // the table holds the whole log up to head
	stale         bool    // another owner may have written since
	readStartedAt Instant // when the last read was started
	syncedAt      Instant // the table holds every write from before this time
	// clockReadAt is the local time that corresponds to head.Clock.
	clockReadAt Instant

	isPrimary  bool // this node is the primary owner of the shard
	queue      []request
	batch      *batch
	nextCommit Instant // earliest time of the next commit
	// conflictDelay is added to the interval after a commit. It is set by a conflict,
	// so that the other owner can commit in turn, and halved by each commit.
	conflictDelay time.Duration
	retryAt       Instant // end of the backoff; the store is not called before
	// failingSince is the time of the first failed call to the store after the last
	// successful one, or Forever.
	failingSince Instant
	replies      []RefReply

	// Counts may be read between calls to methods.
	Counts Counts
}

// NewShard returns a Shard that has not read its log yet.
func NewShard(number int, cfg Config, alive Liveness) *Shard {
	return &Shard{cfg: cfg, keys: newLayout(number), alive: alive, table: NewTable(), failingSince: Forever}
}

// Ask queues a request for a claim. It is refused if it has no reply by expires.
func (s *Shard) Ask(now Instant, ref Ref, a ClaimRequest, expires Instant) {
	s.queue = append(s.queue, request{ref: ref, ask: &a, arrived: now, expires: expires})
}

// End queues the outcome of an attempt. It is refused if it has no reply by expires.
func (s *Shard) End(now Instant, ref Ref, e OutcomeRecord, expires Instant) {
	s.queue = append(s.queue, request{ref: ref, end: &e, arrived: now, expires: expires})
}

// Replies returns the replies since the last call.
func (s *Shard) Replies() []RefReply {
	out := s.replies
	s.replies = nil
	return out
}

// SetPrimary sets whether this node is the primary owner of the shard. If so, the Shard
// keeps its table fresh while it is idle.
func (s *Shard) SetPrimary(on bool) { s.isPrimary = on }

// Len returns the number of keys in the table and of queued requests.
func (s *Shard) Len() (keys, waiting int) { return s.table.Len(), len(s.queue) }

// Next returns the next step. After a StepRead or a StepCommit, Loaded or Committed
// must be called before Next is called again.
func (s *Shard) Next(now Instant) Step {
	s.Expire(now)
	s.replyFromTable(now)
	switch {
	case len(s.queue) == 0:
		return s.idle(now)
	case now < s.retryAt:
		s.refuseAll(now)
		return s.idle(now)
	case !s.loaded:
		return s.read(now, s.keys.all)
	case s.stale || s.needsRead(now):
		return s.read(now, s.keys.open)
	case now < s.nextCommit:
		return Step{Kind: StepWait, Until: min(s.nextCommit, s.NextExpiry())}
	}
	return s.commit(now)
}

// idle returns the next step when the queue is empty.
func (s *Shard) idle(now Instant) Step {
	due := max(s.retryAt, s.syncedAt+s.cfg.MaxNoEarlierRunAge/2)
	switch {
	case !s.isPrimary || s.cfg.MaxNoEarlierRunAge == 0:
		return Step{Kind: StepWait, Until: Forever}
	case now < due:
		return Step{Kind: StepWait, Until: due}
	case !s.loaded:
		return s.read(now, s.keys.all)
	}
	return s.read(now, s.keys.open)
}

func (s *Shard) read(now Instant, prefix string) Step {
	s.readStartedAt = now
	return Step{Kind: StepRead, Prefix: prefix}
}

// Committed handles the result of a StepCommit: the revision of the transaction, and
// whether its comparison held (ok).
func (s *Shard) Committed(now Instant, revision int64, ok bool, err error) {
	b := s.batch
	s.batch = nil
	s.Counts.Commits++
	switch {
	case errors.Is(err, store.ErrUnavailable):
		s.handleStoreFailure(now)
	case err != nil: // the write may have taken effect: read the log
		s.Counts.Uncertain++
		s.markMayBeRecorded(b)
		s.stale = true
	case !ok:
		s.Counts.Conflicts++
		s.stale = true
		s.conflictDelay = s.cfg.Interval
	default:
		s.applyCommitted(b, revision)
		s.nextCommit += s.conflictDelay
		s.conflictDelay /= 2
		return
	}
	s.nextCommit = now // no write of this owner is known to have taken effect: no need to wait
}

// applyCommitted applies a committed batch to the table and replies to its requests.
func (s *Shard) applyCommitted(b *batch, revision int64) {
	s.head = b.head
	s.revision = revision
	s.syncedAt = b.sent
	s.failingSince = Forever
	s.clockReadAt = b.sent
	s.apply(b.group, b.records)
	s.Counts.Records += len(b.records)
	s.Counts.TrimmedGroups += b.trimmed
	s.table.Trim(s.head.Oldest)
	s.openGroup, s.segments = b.openGroup, b.segments
	kept := s.queue[:0]
	for _, r := range s.queue {
		if !b.contains(r.ref) {
			kept = append(kept, r)
			continue
		}
		s.reply(r, b.reply(r))
	}
	s.queue = kept
}

func (s *Shard) apply(g uint64, records []Record) {
	for _, r := range records {
		s.table.Apply(g, r)
	}
}

// markMayBeRecorded marks the queued requests of a batch whose result was lost.
func (s *Shard) markMayBeRecorded(b *batch) {
	for i := range s.queue {
		if b.contains(s.queue[i].ref) {
			s.queue[i].mayBeRecorded = true
		}
	}
}

// handleStoreFailure starts the backoff and refuses the queued requests, except those
// that can be answered from the table.
func (s *Shard) handleStoreFailure(now Instant) {
	s.Counts.Failures++
	s.retryAt = now + s.cfg.Backoff
	s.failingSince = min(s.failingSince, now)
	s.replyFromTable(now)
	s.refuseAll(now)
}

func (s *Shard) refuseAll(now Instant) {
	for _, r := range s.queue {
		s.reply(r, Reply{Status: Unavailable, NoEarlierRun: s.noEarlierRun(now, r)})
	}
	s.queue = s.queue[:0]
}

// Expire refuses the queued requests that have expired. Unlike Next it may be called
// while a read or a commit has no result yet. The refusal of a request whose record is
// part of that commit has MayBeRecorded set.
func (s *Shard) Expire(now Instant) {
	kept := s.queue[:0]
	for _, r := range s.queue {
		if now < r.expires {
			kept = append(kept, r)
			continue
		}
		r.mayBeRecorded = r.mayBeRecorded || s.batch != nil && s.batch.contains(r.ref)
		s.reply(r, Reply{Status: Expired, NoEarlierRun: s.noEarlierRun(now, r)})
	}
	s.queue = kept
}

// NextExpiry returns the earliest expiry time of a queued request, or Forever.
func (s *Shard) NextExpiry() Instant {
	at := Forever
	for _, r := range s.queue {
		at = min(at, r.expires)
	}
	return at
}

func (s *Shard) reply(r request, p Reply) {
	granted := p.Status == Decided && p.State == Granted
	p.MayBeRecorded = r.mayBeRecorded && !granted
	s.replies = append(s.replies, RefReply{r.ref, p})
}
