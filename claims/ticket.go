package claims

import (
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
)

// ticket implements Ticket. It is safe for concurrent use.
type ticket struct {
	service *Service
	// startedWall is the start of the attempt by the wall clock. It is needed because
	// the monotonic clock may stand still while the VM is suspended.
	startedWall time.Time

	mu      sync.Mutex
	attempt *core.Attempt
}

// Valid implements Ticket.
func (t *ticket) Valid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wallAge := time.Now().Round(0).Sub(t.startedWall)
	return t.attempt.Valid(t.service.now()) && wallAge < t.service.settings.Attempt.Life
}

// Finish implements Ticket.
func (t *ticket) Finish(o Outcome, answer *Answer) {
	t.mu.Lock()
	e, ok := t.attempt.Finish(o)
	t.mu.Unlock()
	if !ok {
		return
	}
	if o == Ran {
		t.service.answers.put(t.service.now(), e.Key, t.attempt.Ask.Fingerprint, answer)
	}
	t.service.queueEnd(e)
}
