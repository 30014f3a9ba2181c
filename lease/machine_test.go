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

// contender runs a Machine in steps, on a clock of its own rate. A call has
// three: it is sent, it takes effect, its answer arrives or is lost.
type contender struct {
	m        *Machine
	rate     float64
	sent     bool
	effected bool
	result   Result
}

// world is the true time, the store that follows it, and the contenders.
type world struct {
	now    time.Time
	store  *memory.Store
	all    []*contender
	late   []func() // calls whose effect comes after their answer was lost
	fences []int64
	start  time.Time
}

func newWorld(rates ...float64) *world {
	w := &world{now: time.Unix(1000, 0)}
	w.start = w.now
	w.store = memory.New(func() time.Time { return w.now })
	for i, rate := range rates {
		n := 0
		id := func() string { n++; return fmt.Sprintf("%d-%d", i, n) }
		w.all = append(w.all, &contender{m: NewMachine(DefaultConfig(), id), rate: rate})
	}
	return w
}

func (w *world) clock(c *contender) time.Time {
	return w.start.Add(time.Duration(float64(w.now.Sub(w.start)) * c.rate))
}

func (w *world) keeper(c *contender) *Keeper {
	return &Keeper{store: w.store, duty: "d", holder: "h", now: func() time.Time { return w.clock(c) }, machine: c.m}
}

func (w *world) send(c *contender) {
	if c.sent {
		return
	}
	a := c.m.Next(w.clock(c))
	if a.Call == CallNone {
		return
	}
	c.sent, c.effected = true, false
	c.result = Result{Action: a, Sent: w.clock(c)}
}

func (w *world) effect(c *contender) {
	if !c.sent || c.effected {
		return
	}
	c.effected = true
	sent := c.result.Sent
	c.result = w.keeper(c).do(context.Background(), c.result.Action)
	c.result.Sent = sent
}

func (w *world) answer(c *contender, err error) {
	if !c.sent || (err == nil && !c.effected) {
		return
	}
	c.sent = false
	if err != nil {
		c.result = Result{Action: c.result.Action, Sent: c.result.Sent, Err: err}
	}
	c.result.Done = w.clock(c)
	c.m.Observe(c.result)
}

// lose loses the answer; a call that hasn't taken effect does so later.
func (w *world) lose(c *contender) {
	if c.sent && !c.effected {
		a := c.result.Action
		w.late = append(w.late, func() { w.keeper(c).do(context.Background(), a) })
	}
	w.answer(c, store.ErrUncertain)
}

// whole runs one call to its end at once.
func (w *world) whole(c *contender) {
	w.send(c)
	w.effect(c)
	w.answer(c, nil)
}

// holders returns how many contenders believe now, and notes each new
// fencing number. Whoever believes must have the key in the store.
func (w *world) holders(t *rapid.T) int {
	n := 0
	kv, _, _ := w.store.Get(context.Background(), Key("d"))
	for _, c := range w.all {
		term, ok := c.m.Held(w.clock(c))
		if !ok {
			continue
		}
		n++
		if kv.ModRevision != term.Fence {
			t.Fatalf("believes in %d while the store has %d, at %v", term.Fence, kv.ModRevision, w.now.Sub(w.start))
		}
		if len(w.fences) == 0 || w.fences[len(w.fences)-1] != term.Fence {
			w.fences = append(w.fences, term.Fence)
		}
	}
	return n
}

// TestOneHolder checks, at every instant of generated runs, that at most one
// contender believes, and that fencing numbers strictly grow. Clock rates
// differ from the store's by up to 10%.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.9, 0.97, 1, 1.1})
		w := newWorld(rate.Draw(t, "rate0"), rate.Draw(t, "rate1"))
		steps := rapid.IntRange(300, 900).Draw(t, "steps")
		for range steps {
			w.step(t)
			if n := w.holders(t); n > 1 {
				t.Fatalf("%d holders at %v", n, w.now.Sub(w.start))
			}
			for i := 1; i < len(w.fences); i++ {
				if w.fences[i] <= w.fences[i-1] {
					t.Fatalf("fencing numbers don't grow: %v", w.fences)
				}
			}
		}
	})
}

func (w *world) step(t *rapid.T) {
	c := rapid.SampledFrom(w.all).Draw(t, "who")
	switch rapid.IntRange(0, 15).Draw(t, "step") {
	case 0, 1, 2:
		w.whole(c)
	case 3:
		w.send(c)
	case 4:
		w.effect(c)
	case 5:
		w.answer(c, nil)
	case 6:
		w.answer(c, store.ErrUnavailable)
	case 7:
		w.lose(c)
	case 8:
		for _, f := range w.late {
			f()
		}
		w.late = nil
	case 9:
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "pause")) * time.Millisecond)
	case 10:
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 2_000).Draw(t, "wait")) * time.Millisecond)
	case 11:
		c.m.Lose()
	case 12, 13:
		w.untilEnd(c)
	case 14, 15:
		w.slow(c, time.Duration(rapid.IntRange(0, 5_000).Draw(t, "before"))*time.Millisecond,
			time.Duration(rapid.IntRange(0, 5_000).Draw(t, "after"))*time.Millisecond)
	}
}

// slow runs one call that takes some time before and after its effect.
func (w *world) slow(c *contender, before, after time.Duration) {
	w.send(c)
	w.now = w.now.Add(before)
	w.effect(c)
	w.now = w.now.Add(after)
	w.answer(c, nil)
}

// untilEnd goes on to the last moment at which a holder believes.
func (w *world) untilEnd(c *contender) {
	term, ok := c.m.Held(w.clock(c))
	if !ok {
		return
	}
	left := term.Until.Sub(w.clock(c)) - 10*time.Millisecond
	w.now = w.now.Add(max(0, time.Duration(float64(left)/c.rate)))
}

// TestHeldAgain checks that with a store that answers, some contender holds
// within three TTLs, whatever went before.
func TestHeldAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(1, 1)
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			w.step(t)
		}
		for _, c := range w.all {
			w.lose(c)
		}
		deadline := w.now.Add(3 * DefaultConfig().TTL)
		for w.now.Before(deadline) {
			w.now = w.now.Add(500 * time.Millisecond)
			for _, c := range w.all {
				w.whole(c)
			}
		}
		if w.holders(t) != 1 {
			t.Fatalf("%d holders", w.holders(t))
		}
	})
}

// TestPauseBetweenCheckAndAct states what no lease can prevent: a holder that
// is paused after its check acts when another holds. Its fencing number is
// the smaller one, so that a target that checks refuses it.
func TestPauseBetweenCheckAndAct(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1)
	for range 3 {
		w.whole(w.all[0])
	}
	checked, ok := w.all[0].m.Held(w.clock(w.all[0]))
	is.True(ok)
	w.now = w.now.Add(20 * time.Second) // paused here, after the check
	for range 3 {
		w.whole(w.all[1])
	}
	current, ok := w.all[1].m.Held(w.clock(w.all[1]))
	is.True(ok)
	is.True(current.Fence > checked.Fence)
	_, ok = w.all[0].m.Held(w.clock(w.all[0]))
	is.True(!ok) // a check after the pause fails
}

// TestFaults is the table of single faults.
func TestFaults(t *testing.T) {
	acquire := func(w *world, c *contender) {
		for range 3 {
			w.whole(c)
		}
	}
	tests := []struct {
		name string
		run  func(w *world, c *contender)
		held bool
		loss Loss
	}{
		{"acquired", acquire, true, LossNone},
		{"creation's answer lost, read back", func(w *world, c *contender) {
			w.whole(c)
			w.whole(c)
			w.send(c)
			w.effect(c)
			w.lose(c)
			w.whole(c)
		}, true, LossNone},
		{"creation lost and read back too early, then effective", func(w *world, c *contender) {
			w.whole(c)
			w.whole(c)
			w.send(c)
			w.lose(c)
			w.whole(c) // reads nothing
			w.late[0]()
			w.now = w.now.Add(DefaultConfig().Retry)
			w.whole(c) // creation refused: the key is there
			w.whole(c) // and is its own
		}, true, LossNone},
		{"renewed through lost answers", func(w *world, c *contender) {
			acquire(w, c)
			for range 5 {
				w.now = w.now.Add(5 * time.Second)
				w.send(c)
				w.effect(c)
				w.lose(c)
				w.now = w.now.Add(2 * time.Second)
				w.whole(c)
			}
		}, true, LossNone},
		{"outage longer than the TTL", func(w *world, c *contender) {
			acquire(w, c)
			w.now = w.now.Add(14 * time.Second)
			w.send(c)
			w.answer(c, store.ErrUnavailable)
		}, false, LossLapsed},
		{"late renewal of a live lease", func(w *world, c *contender) {
			acquire(w, c)
			w.now = w.now.Add(6 * time.Second)
			w.send(c)
			w.effect(c)
			w.now = w.now.Add(8 * time.Second)
			w.answer(c, nil)
		}, true, LossNone},
		{"answer later than the TTL", func(w *world, c *contender) {
			acquire(w, c)
			w.now = w.now.Add(6 * time.Second)
			w.send(c)
			w.effect(c)
			w.now = w.now.Add(14 * time.Second)
			w.answer(c, nil)
			w.send(c)
		}, false, LossLapsed},
		{"revoked by the platform", func(w *world, c *contender) {
			acquire(w, c)
			_ = w.store.Revoke(context.Background(), c.m.lease)
			w.now = w.now.Add(6 * time.Second)
			w.whole(c)
		}, false, LossNotFound},
		{"newer fencing number seen", func(w *world, c *contender) {
			acquire(w, c)
			c.m.Lose()
		}, false, LossFenced},
		{"released", func(w *world, c *contender) {
			acquire(w, c)
			c.m.Release()
			w.whole(c)
		}, false, LossReleased},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1)
			tt.run(w, w.all[0])
			_, held := w.all[0].m.Held(w.clock(w.all[0]))
			is.Equal(held, tt.held)
			is.Equal(w.all[0].m.LastLoss(), tt.loss)
		})
	}
}
