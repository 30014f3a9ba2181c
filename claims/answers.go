package claims

import (
	"slices"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
)

// AnswerLimits limits the answers that a node keeps in memory.
type AnswerLimits struct {
	// EntryBytes is the maximum size of the body of a kept answer.
	EntryBytes int
	// TotalBytes is the maximum memory of all kept answers. Above it, the answers that
	// expire first are evicted.
	TotalBytes int
	// InheritedBytes is the maximum memory of the answers inherited from nodes that
	// stopped, so that the rest of TotalBytes is left for the node's own answers.
	InheritedBytes int
}

// entryOverhead is the memory that a kept answer takes besides its body, in bytes.
const entryOverhead = 256

// heldAnswer is an answer in memory with its key and expiry time.
type heldAnswer struct {
	key         core.KeyID
	fingerprint Fingerprint
	answer      *Answer
	// expiresAt is the time from which the answer is no longer returned.
	expiresAt core.Instant
}

func (h heldAnswer) size() int { return entryOverhead + len(h.answer.Body) }

// putResult is the result of adding an answer.
type putResult string

// The results of adding an answer. They are metric label values.
const (
	putKept      putResult = "kept"
	putDuplicate putResult = "duplicate"
	putExpired   putResult = "expired"
	putTooLarge  putResult = "too_large"
)

// answers keeps in memory the answers of requests that this node sent to a target, and
// those that it inherited from nodes that stopped.
type answers struct {
	limits    AnswerLimits
	retention time.Duration
	// onEvict is called for each answer that is removed before it expires.
	onEvict func(origin string)

	mu             sync.Mutex
	closed         bool // no more answers are inherited
	byKey          map[core.KeyID]heldAnswer
	own, inherited answerQueue
}

// The origins of answers. They are metric label values.
const (
	originOwn       = "own"
	originInherited = "inherited"
)

// newAnswers returns an empty answers. It keeps each answer for the given retention.
func newAnswers(l AnswerLimits, retention time.Duration, onEvict func(origin string)) *answers {
	return &answers{limits: l, retention: retention, onEvict: onEvict, byKey: make(map[core.KeyID]heldAnswer)}
}

// put adds the answer of a request that this node sent to a target.
func (a *answers) put(now core.Instant, k core.KeyID, f Fingerprint, ans *Answer) putResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.add(now, &a.own, heldAnswer{k, f, ans, now + a.retention})
}

// inherit adds answers of a node that stops, and returns the result for each; ok is false
// if close was called: this node stops, too, and keeps none of them.
func (a *answers) inherit(now core.Instant, handed []handedOverAnswer) (results []putResult, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil, false
	}
	for _, h := range handed {
		until := now + min(h.keep(), a.retention)
		results = append(results, a.add(now, &a.inherited, heldAnswer{h.Key, h.Fingerprint, h.Answer, until}))
	}
	return results, true
}

// close makes inherit reject all further answers.
func (a *answers) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
}

// get returns the answer to a request, or nil if it is not held.
func (a *answers) get(now core.Instant, k core.KeyID, f Fingerprint) *Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, ok := a.byKey[k]
	if !ok || h.fingerprint != f || h.expiresAt <= now {
		return nil
	}
	return h.answer
}

// all returns the answers that have not expired, in no particular order.
func (a *answers) all(now core.Instant) []heldAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	out := make([]heldAnswer, 0, len(a.byKey))
	for _, h := range a.byKey {
		out = append(out, h)
	}
	return out
}

func (a *answers) add(now core.Instant, q *answerQueue, h heldAnswer) putResult {
	a.expire(now)
	switch _, known := a.byKey[h.key]; {
	case h.answer == nil || len(h.answer.Body) > a.limits.EntryBytes:
		return putTooLarge
	case h.expiresAt <= now:
		return putExpired
	case known:
		return putDuplicate
	}
	a.byKey[h.key] = h
	q.insert(h)
	for a.inherited.bytes > a.limits.InheritedBytes {
		a.evict(&a.inherited, originInherited)
	}
	for a.own.bytes+a.inherited.bytes > a.limits.TotalBytes {
		if a.inherited.firstExpiry() < a.own.firstExpiry() {
			a.evict(&a.inherited, originInherited)
		} else {
			a.evict(&a.own, originOwn)
		}
	}
	return putKept
}

func (a *answers) evict(q *answerQueue, origin string) {
	delete(a.byKey, q.pop().key)
	a.onEvict(origin)
}

// expire removes the expired answers.
func (a *answers) expire(now core.Instant) {
	for _, q := range []*answerQueue{&a.own, &a.inherited} {
		for q.firstExpiry() <= now {
			delete(a.byKey, q.pop().key)
		}
	}
}

// answerQueue is a queue of answers ordered by expiry time, earliest first.
type answerQueue struct {
	items []heldAnswer
	bytes int
}

func (q *answerQueue) insert(h heldAnswer) {
	at := len(q.items)
	for at > 0 && q.items[at-1].expiresAt > h.expiresAt {
		at--
	}
	q.items = slices.Insert(q.items, at, h)
	q.bytes += h.size()
}

// pop removes and returns the answer that expires first.
func (q *answerQueue) pop() heldAnswer {
	h := q.items[0]
	q.items[0] = heldAnswer{} // lets the garbage collector free the body
	q.items = q.items[1:]
	q.bytes -= h.size()
	return h
}

// firstExpiry returns the earliest expiry time in the queue, or Forever if it is empty.
func (q *answerQueue) firstExpiry() core.Instant {
	if len(q.items) == 0 {
		return core.Forever
	}
	return q.items[0].expiresAt
}
