package claims

import (
	"slices"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
)

// AnswerLimits bounds the answers that a node keeps.
type AnswerLimits struct {
	// EntryBytes is the largest answer kept.
	EntryBytes int
	// TotalBytes bounds all answers; those with the least time left go first.
	TotalBytes int
	// InheritedBytes bounds those inherited of nodes that stopped, so that the
	// rest of TotalBytes is left to the node's own.
	InheritedBytes int
}

// entryOverhead is the memory of an answer besides its body, in bytes.
const entryOverhead = 256

type heldAnswer struct {
	key         core.KeyID
	fingerprint Fingerprint
	answer      *Answer
	// until is when the answer need not be kept any longer.
	until core.Instant
}

func (h heldAnswer) size() int { return entryOverhead + len(h.answer.Body) }

// intake is what became of an answer that was to be kept.
type intake string

// The intakes, which are metric labels.
const (
	intakeKept      intake = "kept"
	intakeDuplicate intake = "duplicate"
	intakeExpired   intake = "expired"
	intakeTooLarge  intake = "too_large"
)

// answers keeps the answers of requests that this node ran, or inherited.
type answers struct {
	limits AnswerLimits
	keep   time.Duration
	// evicted is called for each answer that goes before its time.
	evicted func(origin string)

	mu             sync.Mutex
	closed         bool // nothing more is inherited
	held           map[core.KeyID]heldAnswer
	own, inherited answerQueue
}

// The origins of answers, as metric labels.
const (
	originOwn       = "own"
	originInherited = "inherited"
)

// newAnswers returns a store that keeps each answer for the given time.
func newAnswers(l AnswerLimits, keep time.Duration, evicted func(origin string)) *answers {
	return &answers{limits: l, keep: keep, evicted: evicted, held: make(map[core.KeyID]heldAnswer)}
}

// put keeps the answer of a request that this node ran.
func (a *answers) put(now core.Instant, k core.KeyID, f Fingerprint, ans *Answer) intake {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.add(now, &a.own, heldAnswer{k, f, ans, now + a.keep})
}

// inherit keeps answers of a node that stops, and returns what became of
// each; ok is false if this node stops too, and keeps none.
func (a *answers) inherit(now core.Instant, handed []handedAnswer) (became []intake, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil, false
	}
	for _, h := range handed {
		until := now + min(h.keep(), a.keep)
		became = append(became, a.add(now, &a.inherited, heldAnswer{h.Key, h.Fingerprint, h.Answer, until}))
	}
	return became, true
}

// close ends inheriting.
func (a *answers) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
}

// get returns the answer to a request, nil if it is not held.
func (a *answers) get(now core.Instant, k core.KeyID, f Fingerprint) *Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, ok := a.held[k]
	if !ok || h.fingerprint != f || h.until <= now {
		return nil
	}
	return h.answer
}

// all returns what is held.
func (a *answers) all(now core.Instant) []heldAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	out := make([]heldAnswer, 0, len(a.held))
	for _, h := range a.held {
		out = append(out, h)
	}
	return out
}

func (a *answers) add(now core.Instant, q *answerQueue, h heldAnswer) intake {
	a.expire(now)
	switch _, known := a.held[h.key]; {
	case h.answer == nil || len(h.answer.Body) > a.limits.EntryBytes:
		return intakeTooLarge
	case h.until <= now:
		return intakeExpired
	case known:
		return intakeDuplicate
	}
	a.held[h.key] = h
	q.insert(h)
	for a.inherited.bytes > a.limits.InheritedBytes {
		a.evict(&a.inherited, originInherited)
	}
	for a.own.bytes+a.inherited.bytes > a.limits.TotalBytes {
		if a.inherited.firstUntil() < a.own.firstUntil() {
			a.evict(&a.inherited, originInherited)
		} else {
			a.evict(&a.own, originOwn)
		}
	}
	return intakeKept
}

func (a *answers) evict(q *answerQueue, origin string) {
	delete(a.held, q.pop().key)
	a.evicted(origin)
}

// expire drops the answers whose time is over.
func (a *answers) expire(now core.Instant) {
	for _, q := range []*answerQueue{&a.own, &a.inherited} {
		for q.firstUntil() <= now {
			delete(a.held, q.pop().key)
		}
	}
}

// answerQueue orders answers by the time left.
type answerQueue struct {
	items []heldAnswer
	bytes int
}

func (q *answerQueue) insert(h heldAnswer) {
	at := len(q.items)
	for at > 0 && q.items[at-1].until > h.until {
		at--
	}
	q.items = slices.Insert(q.items, at, h)
	q.bytes += h.size()
}

// pop removes the answer with the least time left.
func (q *answerQueue) pop() heldAnswer {
	h := q.items[0]
	q.items[0] = heldAnswer{} // frees its body
	q.items = q.items[1:]
	q.bytes -= h.size()
	return h
}

// firstUntil is the until of the answer with the least time left.
func (q *answerQueue) firstUntil() core.Instant {
	if len(q.items) == 0 {
		return core.Forever
	}
	return q.items[0].until
}
