package claims

import (
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/store"
)

// surroundings are what a stepper takes its steps in.
type surroundings interface {
	time() core.Instant
	wake(d time.Duration, f func())
	list(prefix string, done func(store.ListResult, error))
	commit(t store.Txn, done func(int64, bool, error))
}

// stepper passes requests to a core.Shard and takes its steps.
type stepper struct {
	in    surroundings
	shard *core.Shard
	waits map[core.Ref]func(core.Reply)
	refs  core.Ref
	busy  bool // a call to the store has no result yet
	wakes int  // invalidates older timers
}

func newStepper(in surroundings, s *core.Shard) *stepper {
	return &stepper{in: in, shard: s, waits: make(map[core.Ref]func(core.Reply))}
}

func (s *stepper) ask(a core.ClaimRequest, wait time.Duration, done func(core.Reply)) {
	s.refs++
	s.waits[s.refs] = done
	now := s.in.time()
	s.shard.Ask(now, s.refs, a, now+wait)
	s.in.wake(wait, func() {
		s.shard.Expire(s.in.time())
		s.deliver()
	})
	s.pump()
}

func (s *stepper) end(e core.OutcomeRecord, wait time.Duration, done func(core.Reply)) {
	s.refs++
	s.waits[s.refs] = done
	now := s.in.time()
	s.shard.End(now, s.refs, e, now+wait)
	s.pump()
}

// pump takes steps until the shard waits for the store or for time.
func (s *stepper) pump() {
	if s.busy {
		return
	}
	step := s.shard.Next(s.in.time())
	s.deliver()
	switch step.Kind {
	case core.StepWait:
		s.sleep(step.Until)
	case core.StepRead:
		s.busy = true
		s.in.list(step.Prefix, func(page store.ListResult, err error) {
			s.busy = false
			s.shard.Loaded(s.in.time(), page, err)
			s.pump()
		})
	case core.StepCommit:
		s.busy = true
		s.in.commit(step.Txn, func(revision int64, ok bool, err error) {
			s.busy = false
			s.shard.Committed(s.in.time(), revision, ok, err)
			s.pump()
		})
	}
}

func (s *stepper) deliver() {
	for _, a := range s.shard.Replies() {
		done := s.waits[a.Ref]
		delete(s.waits, a.Ref)
		done(a.Reply)
	}
}

func (s *stepper) sleep(until core.Instant) {
	if until == core.Forever {
		return
	}
	s.wakes++
	wake := s.wakes
	s.in.wake(until-s.in.time(), func() {
		if wake == s.wakes {
			s.pump()
		}
	})
}
