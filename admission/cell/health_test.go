package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// testCell is a cell whose requests end with the results that the test gives.
type testCell struct {
	*Cell
	now     time.Time
	targets []Target
	next    int
}

func newTestCell(targets int) *testCell {
	w := &testCell{Cell: New(Config{LoadFactor: 100, NewFactor: 100, MaxInFlight: 1000}), now: epoch}
	for i := range targets {
		w.targets = append(w.targets, Target{ID: string(rune('a' + i)), Capacity: 1, Incarnation: 1})
	}
	w.SetTargets(w.targets)
	return w
}

// ask returns the request's name and its target. Each request is of another chat.
func (w *testCell) ask(exclude ...string) (string, string) {
	w.next++
	name := fmt.Sprint(w.next)
	v := w.Acquire(w.now, AcquireRequest{Request: name, Chat: uint64(w.next), Exclude: exclude})
	return name, v.Target
}

func (w *testCell) end(request string, r Result) (Suspension, bool) {
	s, ok := w.Report(w.now, Holder{}, request, r)
	w.Release(Holder{}, request)
	return s, ok
}

// runOn starts requests until one is on the target, and ends the others.
func (w *testCell) runOn(t interface{ Fatal(...any) }, target string) string {
	for range 1000 {
		name, got := w.ask()
		if got == target {
			return name
		}
		w.end(name, Unknown)
	}
	t.Fatal("no request on", target)
	return ""
}

func (w *testCell) getsRequests(target string) bool {
	for range 200 {
		name, got := w.ask()
		w.end(name, Unknown)
		if got == target {
			return true
		}
	}
	return false
}

func TestSuspension(t *testing.T) {
	fail := func(n int) func(*testing.T, *testCell) {
		return func(t *testing.T, w *testCell) {
			for range n {
				w.end(w.runOn(t, "a"), Failed)
			}
		}
	}
	with := func(r Result) func(*testing.T, *testCell) {
		return func(t *testing.T, w *testCell) { w.end(w.runOn(t, "a"), r) }
	}
	pass := func(d time.Duration) func(*testing.T, *testCell) {
		return func(_ *testing.T, w *testCell) { w.now = w.now.Add(d) }
	}
	restart := func(_ *testing.T, w *testCell) {
		w.targets[0].Incarnation++
		w.SetTargets(w.targets)
	}
	lateFailures := func(t *testing.T, w *testCell) {
		var running []string
		for range maxFailures {
			running = append(running, w.runOn(t, "a"))
		}
		restart(t, w)
		for _, name := range running {
			w.end(name, Failed)
		}
	}
	relist := func(_ *testing.T, w *testCell) { w.SetTargets(w.targets) }
	for _, tt := range []struct {
		name  string
		steps []func(*testing.T, *testCell)
		want  bool // whether target a gets requests
	}{
		{"two failures", []func(*testing.T, *testCell){fail(2)}, true},
		{"three failures", []func(*testing.T, *testCell){fail(3)}, false},
		{"an answered request in between", []func(*testing.T, *testCell){fail(2), with(Answered), fail(2)}, true},
		{"an unknown result in between", []func(*testing.T, *testCell){fail(2), with(Unknown), fail(1)}, false},
		{"after the pause", []func(*testing.T, *testCell){fail(3), pass(suspendMin)}, true},
		{"a failed trial", []func(*testing.T, *testCell){fail(3), pass(suspendMin), fail(1)}, false},
		{"a failed trial leads to a longer pause", []func(*testing.T, *testCell){fail(3), pass(suspendMin), fail(1), pass(suspendMin - 1)}, false},
		{"an answered trial", []func(*testing.T, *testCell){fail(3), pass(suspendMin), with(Answered), fail(2)}, true},
		{"a trial of unknown result doesn't end the suspension", []func(*testing.T, *testCell){fail(3), pass(suspendMin), with(Unknown), fail(1)}, false},
		{"a new incarnation", []func(*testing.T, *testCell){fail(3), restart}, true},
		{"failures before a new incarnation", []func(*testing.T, *testCell){fail(2), restart, fail(2)}, true},
		{"failures of the old incarnation reported after a new one", []func(*testing.T, *testCell){lateFailures}, true},
		{"a new list of the same targets", []func(*testing.T, *testCell){fail(3), relist}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newTestCell(4)
			for _, step := range tt.steps {
				step(t, w)
			}
			is.New(t).Equal(w.getsRequests("a"), tt.want)
		})
	}
}

// The capacity and requests of a suspended target don't count in the mean.
func TestMeanIsOverUsableTargets(t *testing.T) {
	is := is.New(t)
	w := newTestCell(4)
	running := w.runOn(t, "a")
	for range maxFailures {
		w.end(w.runOn(t, "a"), Failed)
	}
	is.Equal(w.Totals(), Totals{InFlight: 0, Capacity: 3})
	w.end(running, Answered) // which also ends the suspension
	running = w.runOn(t, "a")
	is.Equal(w.Totals(), Totals{InFlight: 1, Capacity: 4})
	w.end(running, Unknown)
	is.Equal(w.Totals(), Totals{Capacity: 4})
}

func TestOneTrialAtATime(t *testing.T) {
	is := is.New(t)
	w := newTestCell(4)
	for range maxFailures {
		w.end(w.runOn(t, "a"), Failed)
	}
	w.now = w.now.Add(suspendMin)
	trial := w.runOn(t, "a")
	is.True(!w.getsRequests("a"))
	w.Resync(Holder{}, []Place{{Request: trial, Target: "a"}}) // still in flight
	is.True(!w.getsRequests("a"))
	w.Resync(Holder{}, nil) // ended with an unknown result
	is.True(w.getsRequests("a"))
	w.end(w.runOn(t, "a"), Answered)
	w.runOn(t, "a")
	is.True(w.getsRequests("a"))
}

// When usable targets leave, suspended ones are put back in use, so that at most half of the
// capacity is suspended.
func TestLeavingTargetsEndSuspensions(t *testing.T) {
	is := is.New(t)
	w := newTestCell(4)
	for _, bad := range []string{"a", "b"} {
		for range maxFailures {
			w.end(w.runOn(t, bad), Failed)
		}
	}
	is.Equal(w.SuspendedTargets(), 2)
	w.targets[3].Leaving = true
	w.SetTargets(w.targets)
	is.Equal(w.SuspendedTargets(), 1)
	w.check(is)
}

// The result of a trial of an earlier suspension doesn't affect the next suspension.
func TestOldTrial(t *testing.T) {
	is := is.New(t)
	w := newTestCell(4)
	running := w.runOn(t, "a")
	suspend := func() string {
		for range maxFailures {
			w.end(w.runOn(t, "a"), Failed)
		}
		w.now = w.now.Add(suspendMax)
		return w.runOn(t, "a")
	}
	old := suspend()
	w.end(running, Answered)
	suspend()
	w.end(old, Failed)
	is.True(!w.getsRequests("a"))
	w.now = w.now.Add(suspendMax)
	is.True(!w.getsRequests("a")) // the new trial is still in flight
}

// A chat whose requests fail on every target suspends none.
func TestFailuresOfOneChatDontSuspend(t *testing.T) {
	is := is.New(t)
	w := newTestCell(2)
	for i := range 10 * maxFailures {
		name := fmt.Sprint(i)
		w.Acquire(w.now, AcquireRequest{Request: name, Chat: 1})
		_, suspended := w.end(name, Failed)
		is.True(!suspended)
	}
}

// Failures of places that another owner granted don't count, since they may be of an earlier
// incarnation.
func TestFailuresOfOthersDontCount(t *testing.T) {
	is := is.New(t)
	w := newTestCell(2)
	for i := range w.targets {
		w.targets[i].Incarnation = 0 // as in a place that another owner granted
	}
	w.SetTargets(w.targets)
	for i := range 10 * maxFailures {
		w.Resync(Holder{}, []Place{{Request: "r", Target: "a", Chat: uint64(i)}})
		_, suspended := w.end("r", Failed)
		is.True(!suspended)
	}
}

func TestPauseGrowsWithinBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		h := &health{}
		now := epoch.Add(time.Duration(rapid.Int64Range(0, 1e15).Draw(rt, "start")))
		for i := range 20 {
			longest := min(suspendMin<<i, suspendMax)
			pause := h.suspend(now, rapid.Uint64().Draw(rt, "key"))
			is.True(pause > longest/2-1 && pause <= longest)
			is.True(!h.trialDue(now.Add(pause - 1)))
			is.True(h.trialDue(now.Add(pause)))
			now = now.Add(pause)
		}
		is.True(h.succeed(now))
		is.True(h.suspend(now.Add(pauseResetAfter), 0) > suspendMax/2-1)
		is.True(!h.succeed(now) || h.pauses > 0)
		h.suspended = false
		is.True(h.suspend(h.resumedAt.Add(pauseResetAfter+1), 0) <= suspendMin)
	})
}

// For any order of failures: at most half of the capacity is suspended, so that some target
// always gets the request; a target that has just answered gets requests; and the totals are
// those of the usable targets.
func TestSuspensionInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		w := newTestCell(rapid.IntRange(1, 6).Draw(rt, "targets"))
		for i := range w.targets {
			w.targets[i].Capacity = rapid.IntRange(1, 3).Draw(rt, "capacity")
		}
		w.SetTargets(w.targets)
		var running []string
		on := make(map[string]string)
		bias := rapid.SampledFrom([]Result{Answered, Failed}).Draw(rt, "bias")
		for range rapid.IntRange(0, 150).Draw(rt, "steps") {
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			case 1:
				i := rapid.IntRange(0, len(w.targets)-1).Draw(rt, "changed")
				restarts := rapid.Bool().Draw(rt, "restarts")
				if restarts {
					w.targets[i].Incarnation++
				} else if i > 0 { // one target never leaves
					w.targets[i].Leaving = !w.targets[i].Leaving
				}
				w.SetTargets(w.targets)
				is.True(!restarts || !w.isSuspended(w.targets[i].ID))
			case 2, 3, 4:
				if len(running) > 0 {
					r := rapid.SampledFrom([]Result{bias, bias, bias, Answered, Failed, Unknown}).Draw(rt, "result")
					w.end(running[0], r)
					is.True(r != Answered || !w.isSuspended(on[running[0]]))
					running = running[1:]
				}
			default:
				name, target := w.ask()
				is.True(target != "") // some target is always usable
				running, on[name] = append(running, name), target
			}
			w.check(is)
		}
	})
}

func (w *testCell) isSuspended(target string) bool {
	s := w.slots[w.index[target]]
	return s.listed && !s.usable
}

func (w *testCell) check(is *is.I) {
	var usable Totals
	suspended := 0
	for _, s := range w.slots {
		if s.usable {
			usable.Capacity += s.capacity
			usable.InFlight += s.count
		} else if s.listed {
			suspended += s.capacity
		}
	}
	is.Equal(w.own, usable)
	is.Equal(w.suspended, suspended)
	is.True(2*suspended <= suspended+usable.Capacity)
	is.True(len(w.health) <= len(w.targets))
}

// A target that refuses because of overload counts as failed only while it has far less in
// flight than the mean.
func TestOverloaded(t *testing.T) {
	for name, tt := range map[string]struct {
		own  int // requests in flight on the target that refuses
		want bool
	}{
		"idle":          {own: 0, want: true},
		"below half":    {own: 3, want: true},
		"above half":    {own: 8, want: false},
		"as the others": {own: 12, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestCell(4)
			for _, target := range w.targets[1:] {
				for range 12 {
					w.runOn(t, target.ID)
				}
			}
			for range tt.own {
				w.runOn(t, "a")
			}
			suspended := false
			for range maxFailures {
				_, now := w.end(w.runOn(t, "a"), Overloaded)
				suspended = suspended || now
			}
			is.New(t).Equal(suspended, tt.want)
		})
	}
}
