package core

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

// Config holds the limits of a Shard.
type Config struct {
	// Interval is the shortest time between two transactions of a shard.
	Interval time.Duration
	// Retention is how long a claim is kept; a key that comes back within it
	// never runs again.
	Retention time.Duration
	// GrantAge is added to the retention: the longest time from an Ask, which
	// comes before the record's clock, to the use of its grant.
	GrantAge time.Duration
	// SyncAge is the age from which the table is read again before it is
	// trusted to say that a claim is in progress, unknown or mismatched.
	SyncAge time.Duration
	// VouchAge is the age of the table up to which a refusal says that the key
	// was not run before; with 0 the table must have been read since the
	// request came. While the store is out, the age when it failed counts.
	VouchAge time.Duration
	// RunLimit is the age from which an open claim counts as unknown.
	RunLimit time.Duration
	// Backoff is the pause after a failed call to the store; requests that
	// come meanwhile are refused at once.
	Backoff time.Duration
	// GroupSegments and GroupBytes close a group of transactions.
	GroupSegments int
	GroupBytes    int
	// MaxBatch is the most records in one transaction.
	MaxBatch int
}

// DefaultConfig returns the limits used in production.
func DefaultConfig() Config {
	return Config{
		Interval:      140 * time.Millisecond,
		Retention:     15 * time.Minute,
		GrantAge:      DefaultAttemptLimits().Life,
		SyncAge:       time.Second,
		VouchAge:      2 * time.Second,
		RunLimit:      5 * time.Minute,
		Backoff:       500 * time.Millisecond,
		GroupSegments: 64,
		GroupBytes:    256 << 10,
		MaxBatch:      2000,
	}
}

// Ref is the caller's reference to a request.
type Ref uint64

// request is an Ask or an End that waits for its reply.
type request struct {
	ref     Ref
	ask     *Ask
	end     *End
	arrived Instant
	expires Instant
	// tainted is set once a transaction with the request's record was lost
	// without a result.
	tainted bool
}

// Answered is the reply to the request with the given Ref.
type Answered struct {
	Ref   Ref
	Reply Reply
}

// StepKind says what a Shard needs next.
type StepKind int

// The kinds of steps.
const (
	// StepWait: call Next again at Until, or when a request arrives.
	StepWait StepKind = iota
	// StepRead: List Prefix and pass the page to Loaded.
	StepRead
	// StepCommit: Commit Txn and pass the result to Committed.
	StepCommit
)

// Step is the next action of a Shard.
type Step struct {
	Kind   StepKind
	Until  Instant
	Prefix string
	Txn    store.Txn
}

// Counts are the events of a Shard since it was made.
type Counts struct {
	Commits, Conflicts, Uncertain, Failures int
	Reads, FullReads                        int
	Records, TrimmedGroups                  int
}

// Liveness says whether the run of a node that holds a claim still lives.
type Liveness func(Holder) bool

// Shard decides the claims of one shard. Any node may run one at any time:
// a transaction takes effect only if no other owner wrote since this one read
// the log, and a claim is granted only once its record is in the log. It is
// not safe for concurrent use.
type Shard struct {
	cfg   Config
	keys  layout
	alive Liveness

	table    *Table
	head     Head
	revision int64   // of the head in the store; 0 if there is none
	openLog  []byte  // the segments of the open group, joined
	segments int     // their number
	loaded   bool    // the table holds the whole log up to head
	stale    bool    // another owner may have written since
	readAt   Instant // when the last read was begun
	syncedAt Instant // the table holds all that was written before
	// clockFrom is the local time at which the head's clock was right.
	clockFrom Instant

	onDuty bool // this node is the first to be asked
	queue  []request
	batch  *batch
	next   Instant // earliest next commit
	// yield is added to the interval after a commit, so that another owner
	// that was met gets its turn. It is halved by each commit.
	yield   time.Duration
	retryAt Instant // the store is not called before
	// failedAt is when the store failed first since it last answered, or
	// Forever.
	failedAt Instant
	replies  []Answered

	// Counts may be read between calls.
	Counts Counts
}

// NewShard returns a shard that has read nothing yet.
func NewShard(number int, cfg Config, alive Liveness) *Shard {
	return &Shard{cfg: cfg, keys: newLayout(number), alive: alive, table: NewTable(), failedAt: Forever}
}

// Ask queues a request for a claim.
func (s *Shard) Ask(now Instant, ref Ref, a Ask, expires Instant) {
	s.queue = append(s.queue, request{ref: ref, ask: &a, arrived: now, expires: expires})
}

// End queues the outcome of an attempt.
func (s *Shard) End(now Instant, ref Ref, e End, expires Instant) {
	s.queue = append(s.queue, request{ref: ref, end: &e, arrived: now, expires: expires})
}

// Replies returns the replies since the last call.
func (s *Shard) Replies() []Answered {
	out := s.replies
	s.replies = nil
	return out
}

// SetDuty says whether this node believes that it is the shard's owner. An
// owner keeps its table fresh while it is idle.
func (s *Shard) SetDuty(on bool) { s.onDuty = on }

// Len returns the number of keys in the table and of requests that wait.
func (s *Shard) Len() (keys, waiting int) { return s.table.Len(), len(s.queue) }

// Next returns the next step. A read or a commit must be answered by Loaded
// or Committed before Next is called again.
func (s *Shard) Next(now Instant) Step {
	s.Expire(now)
	s.answerKnown(now)
	switch {
	case len(s.queue) == 0:
		return s.idle(now)
	case now < s.retryAt:
		s.refuseAll(now)
		return s.idle(now)
	case !s.loaded:
		return s.read(now, s.keys.all)
	case s.stale || s.mustSync(now):
		return s.read(now, s.keys.open)
	case now < s.next:
		return Step{Kind: StepWait, Until: min(s.next, s.NextExpiry())}
	}
	return s.commit(now)
}

// idle returns the step of a shard that no request waits for.
func (s *Shard) idle(now Instant) Step {
	due := max(s.retryAt, s.syncedAt+s.cfg.VouchAge/2)
	switch {
	case !s.onDuty || s.cfg.VouchAge == 0:
		return Step{Kind: StepWait, Until: Forever}
	case now < due:
		return Step{Kind: StepWait, Until: due}
	case !s.loaded:
		return s.read(now, s.keys.all)
	}
	return s.read(now, s.keys.open)
}

func (s *Shard) read(now Instant, prefix string) Step {
	s.readAt = now
	return Step{Kind: StepRead, Prefix: prefix}
}

// Committed reports the result of the last commit.
func (s *Shard) Committed(now Instant, revision int64, ok bool, err error) {
	b := s.batch
	s.batch = nil
	s.Counts.Commits++
	switch {
	case errors.Is(err, store.ErrUnavailable):
		s.fail(now)
	case err != nil: // the write may have taken effect: read back
		s.Counts.Uncertain++
		s.taint(b)
		s.stale = true
	case !ok:
		s.Counts.Conflicts++
		s.stale = true
		s.yield = s.cfg.Interval
	default:
		s.adopt(b, revision)
		s.next += s.yield
		s.yield /= 2
		return
	}
	s.next = now // another owner wrote, or nobody: nothing is gained by waiting
}

// adopt applies a batch that is in the log.
func (s *Shard) adopt(b *batch, revision int64) {
	s.head = b.head
	s.revision = revision
	s.syncedAt = b.sent
	s.failedAt = Forever
	s.clockFrom = b.sent
	s.apply(b.group, b.records)
	s.Counts.Records += len(b.records)
	s.Counts.TrimmedGroups += b.trimmed
	s.table.Trim(s.head.Oldest)
	s.openLog, s.segments = b.openLog, b.segments
	kept := s.queue[:0]
	for _, r := range s.queue {
		if !b.has(r.ref) {
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

// taint marks the requests of a batch whose result was lost.
func (s *Shard) taint(b *batch) {
	for i := range s.queue {
		if b.has(s.queue[i].ref) {
			s.queue[i].tainted = true
		}
	}
}

// fail refuses what waits, and what comes before the pause has passed. What
// the table knows is still answered.
func (s *Shard) fail(now Instant) {
	s.Counts.Failures++
	s.retryAt = now + s.cfg.Backoff
	s.failedAt = min(s.failedAt, now)
	s.answerKnown(now)
	s.refuseAll(now)
}

func (s *Shard) refuseAll(now Instant) {
	for _, r := range s.queue {
		s.reply(r, Reply{Status: Unavailable, Clear: s.clear(now, r)})
	}
	s.queue = s.queue[:0]
}

// Expire refuses the requests whose time is over. Unlike Next it may be called
// while a read or a commit has no result yet; a request whose record is in that
// commit may then be in the log.
func (s *Shard) Expire(now Instant) {
	kept := s.queue[:0]
	for _, r := range s.queue {
		if now < r.expires {
			kept = append(kept, r)
			continue
		}
		r.tainted = r.tainted || s.batch != nil && s.batch.has(r.ref)
		s.reply(r, Reply{Status: Expired, Clear: s.clear(now, r)})
	}
	s.queue = kept
}

// NextExpiry is the time at which Expire has something to do.
func (s *Shard) NextExpiry() Instant {
	at := Forever
	for _, r := range s.queue {
		at = min(at, r.expires)
	}
	return at
}

func (s *Shard) reply(r request, p Reply) {
	granted := p.Status == Decided && p.State == Granted
	p.Tainted = r.tainted && !granted
	s.replies = append(s.replies, Answered{r.ref, p})
}
