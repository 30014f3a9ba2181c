package lease

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/memory"
)

// candidate runs a Machine step by step, on a clock with its own rate. A call has three steps: it
// is sent, it takes effect in the store, and its response arrives or is lost.
type candidate struct {
	m       *Machine
	rate    float64
	sent    bool
	applied bool
	result  Result
}

// simulation holds the reference time, the store that uses it, and the candidates.
type simulation struct {
	now        time.Time
	store      *memory.Store
	candidates []*candidate
	delayed    []func() // calls that take effect after their response was lost
	fences     []int64
	start      time.Time
}

func newSimulation(rates ...float64) *simulation {
	s := &simulation{now: time.Unix(1000, 0)}
	s.start = s.now
	s.store = memory.New(func() time.Time { return s.now })
	for i, rate := range rates {
		n := 0
		id := func() string { n++; return fmt.Sprintf("%d-%d", i, n) }
		s.candidates = append(s.candidates, &candidate{m: NewMachine(DefaultConfig(), id), rate: rate})
	}
	return s
}

func (s *simulation) clock(c *candidate) time.Time {
	return s.start.Add(time.Duration(float64(s.now.Sub(s.start)) * c.rate))
}

func (s *simulation) keeper(c *candidate) *Keeper {
	return &Keeper{store: s.store, duty: "d", holder: "h", now: func() time.Time { return s.clock(c) }, machine: c.m}
}

func (s *simulation) send(c *candidate) {
	if c.sent {
		return
	}
	a := c.m.Next(s.clock(c))
	if a.Call == CallNone {
		return
	}
	c.sent, c.applied = true, false
	c.result = Result{Action: a, Sent: s.clock(c)}
}

func (s *simulation) apply(c *candidate) {
	if !c.sent || c.applied {
		return
	}
	c.applied = true
	sent := c.result.Sent
	c.result = s.keeper(c).execute(context.Background(), c.result.Action)
	c.result.Sent = sent
}

func (s *simulation) respond(c *candidate, err error) {
	if !c.sent || (err == nil && !c.applied) {
		return
	}
	c.sent = false
	if err != nil {
		c.result = Result{Action: c.result.Action, Sent: c.result.Sent, Err: err}
	}
	c.result.Done = s.clock(c)
	c.m.Observe(c.result)
}

// loseResponse makes the response of the pending call get lost. A call that hasn't taken effect
// yet does so later.
func (s *simulation) loseResponse(c *candidate) {
	if c.sent && !c.applied {
		a := c.result.Action
		s.delayed = append(s.delayed, func() { s.keeper(c).execute(context.Background(), a) })
	}
	s.respond(c, store.ErrUncertain)
}

// complete runs one call from sending to response at once.
func (s *simulation) complete(c *candidate) {
	s.send(c)
	s.apply(c)
	s.respond(c, nil)
}

// holders returns how many candidates hold the duty by their own clocks, and records each new
// fencing number. The store must have the key of each of them.
func (s *simulation) holders(t *rapid.T) int {
	n := 0
	kv, _, _ := s.store.Get(context.Background(), Key("d"))
	for _, c := range s.candidates {
		term, ok := c.m.Held(s.clock(c))
		if !ok {
			continue
		}
		n++
		if kv.ModRevision != term.Fence {
			t.Fatalf("candidate holds term %d while the store has revision %d, at %v", term.Fence, kv.ModRevision, s.now.Sub(s.start))
		}
		if len(s.fences) == 0 || s.fences[len(s.fences)-1] != term.Fence {
			s.fences = append(s.fences, term.Fence)
		}
	}
	return n
}

// TestOneHolder checks, at every step of generated runs, that at most one candidate holds the
// duty, and that fencing numbers strictly increase. Clock rates differ from the store's by up to
// 10%.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.9, 0.97, 1, 1.1})
		s := newSimulation(rate.Draw(t, "rate0"), rate.Draw(t, "rate1"))
		steps := rapid.IntRange(300, 900).Draw(t, "steps")
		for range steps {
			s.step(t)
			if n := s.holders(t); n > 1 {
				t.Fatalf("%d holders at %v", n, s.now.Sub(s.start))
			}
			for i := 1; i < len(s.fences); i++ {
				if s.fences[i] <= s.fences[i-1] {
					t.Fatalf("fencing numbers don't increase: %v", s.fences)
				}
			}
		}
	})
}

func (s *simulation) step(t *rapid.T) {
	c := rapid.SampledFrom(s.candidates).Draw(t, "who")
	switch rapid.IntRange(0, 15).Draw(t, "step") {
	case 0, 1, 2:
		s.complete(c)
	case 3:
		s.send(c)
	case 4:
		s.apply(c)
	case 5:
		s.respond(c, nil)
	case 6:
		s.respond(c, store.ErrUnavailable)
	case 7:
		s.loseResponse(c)
	case 8:
		for _, f := range s.delayed {
			f()
		}
		s.delayed = nil
	case 9:
		s.now = s.now.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "pause")) * time.Millisecond)
	case 10:
		s.now = s.now.Add(time.Duration(rapid.IntRange(0, 2_000).Draw(t, "wait")) * time.Millisecond)
	case 11:
		c.m.Invalidate(0)
	case 12, 13:
		s.advanceToExpiry(c)
	case 14, 15:
		s.completeWithDelays(c, time.Duration(rapid.IntRange(0, 5_000).Draw(t, "before"))*time.Millisecond,
			time.Duration(rapid.IntRange(0, 5_000).Draw(t, "after"))*time.Millisecond)
	}
}

// completeWithDelays runs one call with delays before and after its effect.
func (s *simulation) completeWithDelays(c *candidate, before, after time.Duration) {
	s.send(c)
	s.now = s.now.Add(before)
	s.apply(c)
	s.now = s.now.Add(after)
	s.respond(c, nil)
}

// advanceToExpiry advances the time to 10 ms, on the candidate's clock, before its term expires.
func (s *simulation) advanceToExpiry(c *candidate) {
	term, ok := c.m.Held(s.clock(c))
	if !ok {
		return
	}
	left := term.ValidUntil.Sub(s.clock(c)) - 10*time.Millisecond
	s.now = s.now.Add(max(0, time.Duration(float64(left)/c.rate)))
}

// TestHeldAgain checks that, once the store answers, some candidate holds the duty within three
// TTLs, whatever faults came before.
func TestHeldAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(1, 1)
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			s.step(t)
		}
		for _, c := range s.candidates {
			s.loseResponse(c)
		}
		deadline := s.now.Add(3 * DefaultConfig().TTL)
		for s.now.Before(deadline) {
			s.now = s.now.Add(500 * time.Millisecond)
			for _, c := range s.candidates {
				s.complete(c)
			}
		}
		if s.holders(t) != 1 {
			t.Fatalf("%d holders, want 1", s.holders(t))
		}
	})
}

// TestPauseBetweenCheckAndAct shows a case that no lease can prevent: a holder that is paused
// after its check acts while another node holds the duty. Its fencing number is the smaller one,
// so that a target that checks fencing numbers refuses the action.
func TestPauseBetweenCheckAndAct(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 1)
	for range 3 {
		s.complete(s.candidates[0])
	}
	checked, ok := s.candidates[0].m.Held(s.clock(s.candidates[0]))
	is.True(ok)
	s.now = s.now.Add(20 * time.Second) // paused here, after the check
	for range 3 {
		s.complete(s.candidates[1])
	}
	current, ok := s.candidates[1].m.Held(s.clock(s.candidates[1]))
	is.True(ok)
	is.True(current.Fence > checked.Fence)
	_, ok = s.candidates[0].m.Held(s.clock(s.candidates[0]))
	is.True(!ok) // a check after the pause fails
}

// TestFaults covers single faults.
func TestFaults(t *testing.T) {
	acquire := func(s *simulation, c *candidate) {
		for range 3 {
			s.complete(c)
		}
	}
	tests := []struct {
		name string
		run  func(s *simulation, c *candidate)
		held bool
		loss Loss
	}{
		{"acquired", acquire, true, LossNone},
		{"creation response lost, read back", func(s *simulation, c *candidate) {
			s.complete(c)
			s.complete(c)
			s.send(c)
			s.apply(c)
			s.loseResponse(c)
			s.complete(c)
		}, true, LossNone},
		{"creation delayed: read back before it takes effect", func(s *simulation, c *candidate) {
			s.complete(c)
			s.complete(c)
			s.send(c)
			s.loseResponse(c)
			s.complete(c) // reads no key
			s.delayed[0]()
			s.now = s.now.Add(DefaultConfig().Retry)
			s.complete(c) // creation refused: the key exists
			s.complete(c) // read back: the key has the candidate's write ID
		}, true, LossNone},
		{"renewed although responses were lost", func(s *simulation, c *candidate) {
			acquire(s, c)
			for range 5 {
				s.now = s.now.Add(5 * time.Second)
				s.send(c)
				s.apply(c)
				s.loseResponse(c)
				s.now = s.now.Add(2 * time.Second)
				s.complete(c)
			}
		}, true, LossNone},
		{"outage longer than the TTL", func(s *simulation, c *candidate) {
			acquire(s, c)
			s.now = s.now.Add(14 * time.Second)
			s.send(c)
			s.respond(c, store.ErrUnavailable)
		}, false, LossLapsed},
		{"late response to a renewal before the lease expires", func(s *simulation, c *candidate) {
			acquire(s, c)
			s.now = s.now.Add(6 * time.Second)
			s.send(c)
			s.apply(c)
			s.now = s.now.Add(8 * time.Second)
			s.respond(c, nil)
		}, true, LossNone},
		{"response later than the TTL", func(s *simulation, c *candidate) {
			acquire(s, c)
			s.now = s.now.Add(6 * time.Second)
			s.send(c)
			s.apply(c)
			s.now = s.now.Add(14 * time.Second)
			s.respond(c, nil)
			s.send(c)
		}, false, LossLapsed},
		{"revoked by the platform", func(s *simulation, c *candidate) {
			acquire(s, c)
			_ = s.store.Revoke(context.Background(), c.m.lease)
			s.now = s.now.Add(6 * time.Second)
			s.complete(c)
		}, false, LossNotFound},
		{"newer fencing number seen", func(s *simulation, c *candidate) {
			acquire(s, c)
			c.m.Invalidate(0)
		}, false, LossFenced},
		{"released", func(s *simulation, c *candidate) {
			acquire(s, c)
			c.m.Release()
			s.complete(c)
		}, false, LossReleased},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(1)
			tt.run(s, s.candidates[0])
			_, held := s.candidates[0].m.Held(s.clock(s.candidates[0]))
			is.Equal(held, tt.held)
			is.Equal(s.candidates[0].m.LastLoss(), tt.loss)
		})
	}
}
