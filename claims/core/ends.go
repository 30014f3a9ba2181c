package core

import "time"

// OutcomeQueueConfig holds the limits of an OutcomeQueue.
type OutcomeQueueConfig struct {
	// Capacity is the maximum number of outcomes kept.
	Capacity int
	// MaxBatch is the maximum number of outcomes sent in one call.
	MaxBatch int
	// MinBackoff and MaxBackoff limit the exponential backoff after a failed call.
	MinBackoff, MaxBackoff time.Duration
}

// DefaultOutcomeQueueConfig returns the limits used in production.
func DefaultOutcomeQueueConfig() OutcomeQueueConfig {
	return OutcomeQueueConfig{Capacity: 20000, MaxBatch: 500, MinBackoff: 200 * time.Millisecond, MaxBackoff: 5 * time.Second}
}

// OutcomeQueue queues the outcomes of attempts until an owner has recorded them. When the queue
// is full, new outcomes are dropped: the claim of a dropped outcome stays open in the
// log, its state turns to Unknown, and its request is never run again.
type OutcomeQueue struct {
	cfg    OutcomeQueueConfig
	shards [Shards]endQueue
	len    int
}

type endQueue struct {
	items   []OutcomeRecord
	sending int // number of leading items that are being sent
	backoff time.Duration
	retryAt Instant
}

// NewOutcomeQueue returns an empty queue.
func NewOutcomeQueue(cfg OutcomeQueueConfig) *OutcomeQueue { return &OutcomeQueue{cfg: cfg} }

// Len returns the number of outcomes that are not recorded yet.
func (q *OutcomeQueue) Len() int { return q.len }

// Push adds an outcome. It returns false if the queue is full.
func (q *OutcomeQueue) Push(e OutcomeRecord) bool {
	if q.len >= q.cfg.Capacity {
		return false
	}
	q.len++
	s := &q.shards[e.Key.Shard()]
	s.items = append(s.items, e)
	return true
}

// Next returns the outcomes of one shard to send now; ok is false if there are none.
// It returns no more outcomes of that shard before Sent is called for it.
func (q *OutcomeQueue) Next(now Instant) (shard int, batch []OutcomeRecord, ok bool) {
	for i := range q.shards {
		s := &q.shards[i]
		if len(s.items) == 0 || s.sending > 0 || now < s.retryAt {
			continue
		}
		s.sending = min(len(s.items), q.cfg.MaxBatch)
		return i, append([]OutcomeRecord(nil), s.items[:s.sending]...), true
	}
	return 0, nil, false
}

// Sent reports whether the outcomes that Next last returned for a shard were recorded.
// If not, Next returns them again after a backoff; jitter in [0,1) shortens the backoff
// by up to a half.
func (q *OutcomeQueue) Sent(now Instant, shard int, recorded bool, jitter float64) {
	s := &q.shards[shard]
	if recorded {
		s.items = s.items[s.sending:]
		q.len -= s.sending
		s.sending, s.backoff = 0, 0
		return
	}
	s.sending = 0
	s.backoff = min(max(2*s.backoff, q.cfg.MinBackoff), q.cfg.MaxBackoff)
	s.retryAt = now + s.backoff - time.Duration(jitter*float64(s.backoff)/2)
}

// WakeAt returns the time from which Next may return outcomes again.
func (q *OutcomeQueue) WakeAt() Instant {
	at := Forever
	for i := range q.shards {
		if s := &q.shards[i]; len(s.items) > 0 && s.sending == 0 {
			at = min(at, s.retryAt)
		}
	}
	return at
}
