package claims

import (
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/store"
)

// environment provides the time, timers and store calls of a stepper.
type environment interface {
	time() core.Instant
	schedule(d time.Duration, f func())
	list(prefix string, done func(store.ListResult, error))
	commit(t store.Txn, done func(int64, bool, error))
}

// stepper passes requests to a core.Shard and executes the steps that it returns.
type stepper struct {
	env       environment
	shard     *core.Shard
	callbacks map[core.Ref]func(core.Reply)
	lastRef   core.Ref
	busy      bool // a call to the store has no result yet
	timers    int  // number of timers set; only the latest one is valid
}

func newStepper(env environment, s *core.Shard) *stepper {
	return &stepper{env: env, shard: s, callbacks: make(map[core.Ref]func(core.Reply))}
}

func (s *stepper) ask(a core.ClaimRequest, wait time.Duration, done func(core.Reply)) {
	s.lastRef++
	s.callbacks[s.lastRef] = done
	now := s.env.time()
	s.shard.Ask(now, s.lastRef, a, now+wait)
	s.env.schedule(wait, func() {
		s.shard.Expire(s.env.time())
		s.deliver()
	})
	s.pump()
}

func (s *stepper) end(e core.OutcomeRecord, wait time.Duration, done func(core.Reply)) {
	s.lastRef++
	s.callbacks[s.lastRef] = done
	now := s.env.time()
	s.shard.End(now, s.lastRef, e, now+wait)
	s.pump()
}

// pump executes the shard's next step, unless a call to the store is in progress. A
// store call's result, or the timer of a wait, pumps again.
func (s *stepper) pump() {
	if s.busy {
		return
	}
	step := s.shard.Next(s.env.time())
	s.deliver()
	switch step.Kind {
	case core.StepWait:
		s.sleep(step.Until)
	case core.StepRead:
		s.busy = true
		s.env.list(step.Prefix, func(page store.ListResult, err error) {
			s.busy = false
			s.shard.Loaded(s.env.time(), page, err)
			s.pump()
		})
	case core.StepCommit:
		s.busy = true
		s.env.commit(step.Txn, func(revision int64, ok bool, err error) {
			s.busy = false
			s.shard.Committed(s.env.time(), revision, ok, err)
			s.pump()
		})
	}
}

func (s *stepper) deliver() {
	for _, a := range s.shard.Replies() {
		done := s.callbacks[a.Ref]
		delete(s.callbacks, a.Ref)
		done(a.Reply)
	}
}

func (s *stepper) sleep(until core.Instant) {
	if until == core.Forever {
		return
	}
	s.timers++
	generation := s.timers
	s.env.schedule(until-s.env.time(), func() {
		if generation == s.timers {
			s.pump()
		}
	})
}
