package claims

import (
	"sync"

	"github.com/knapweedgw/knapweedgw/claims/core"
)

// AnswerLimits bounds the answers that a node keeps.
type AnswerLimits struct {
	// EntryBytes is the largest answer kept.
	EntryBytes int
	// TotalBytes bounds all answers; the oldest go first.
	TotalBytes int
}

// entryOverhead is the memory of an answer besides its body, in bytes.
const entryOverhead = 256

type heldAnswer struct {
	fingerprint Fingerprint
	answer      *Answer
}

func (h heldAnswer) size() int { return entryOverhead + len(h.answer.Body) }

// answers keeps the answers of requests that this node ran.
type answers struct {
	limits AnswerLimits

	mu    sync.Mutex
	held  map[core.KeyID]heldAnswer
	order []core.KeyID // oldest first
	bytes int
}

func newAnswers(l AnswerLimits) *answers {
	return &answers{limits: l, held: make(map[core.KeyID]heldAnswer)}
}

// put keeps an answer and reports whether it did. A key is run once, so that
// it is put once.
func (a *answers) put(k core.KeyID, f Fingerprint, ans *Answer) bool {
	if ans == nil || len(ans.Body) > a.limits.EntryBytes {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.held[k]; ok {
		return false
	}
	h := heldAnswer{f, ans}
	a.held[k] = h
	a.order = append(a.order, k)
	a.bytes += h.size()
	for a.bytes > a.limits.TotalBytes {
		a.dropOldest()
	}
	return true
}

func (a *answers) dropOldest() {
	k := a.order[0]
	a.order = a.order[1:]
	a.bytes -= a.held[k].size()
	delete(a.held, k)
}

// get returns the answer to a request, nil if it is not held.
func (a *answers) get(k core.KeyID, f Fingerprint) *Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, ok := a.held[k]
	if !ok || h.fingerprint != f {
		return nil
	}
	return h.answer
}
