package targets

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/damping"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

// clock is a clock that tests set.
type clock struct{ t time.Time }

func (c *clock) now() time.Time { return c.t }

func newTestRegistry(opts ...Option) *Registry {
	return NewRegistry(nil, time.Second, log.New(io.Discard), opts...)
}

func engine(id string, incarnation int64, state vmlist.State) vmlist.VM {
	return vmlist.VM{ID: id, Role: vmlist.RoleEngine, Pool: "p", Incarnation: incarnation, State: state}
}

func list(version int64, vms ...vmlist.VM) vmlist.List {
	return vmlist.List{Version: version, VMs: vms}
}

func TestSourcesOfWords(t *testing.T) {
	live, leaving := vmlist.StateLive, vmlist.StateLeaving
	peer := func(incarnation int64) func(*Registry) {
		return func(r *Registry) { r.Learn(Report{Target: "e", Incarnation: incarnation, Leaving: true}) }
	}
	answer := func(incarnation int64) func(*Registry) {
		return func(r *Registry) { r.ObserveLeaving("e", incarnation) }
	}
	listed := func(version int64, vms ...vmlist.VM) func(*Registry) {
		return func(r *Registry) { r.Apply(list(version, vms...)) }
	}
	cases := []struct {
		name  string
		steps []func(*Registry)
		want  string
	}{
		{"listed as live", []func(*Registry){listed(1, engine("e", 1, live))}, "live"},
		{"listed as leaving", []func(*Registry){listed(1, engine("e", 1, live)), listed(2, engine("e", 1, leaving))}, "leaving"},
		{"listed as leaving, then an older list", []func(*Registry){listed(2, engine("e", 1, leaving)), listed(1, engine("e", 1, live))}, "leaving"},
		{"listed as leaving, then a newer list with the same incarnation live", []func(*Registry){listed(1, engine("e", 1, leaving)), listed(2, engine("e", 1, live))}, "leaving"},
		{"a new incarnation is live again", []func(*Registry){listed(1, engine("e", 1, leaving)), listed(2, engine("e", 2, live))}, "live"},
		{"its own response", []func(*Registry){listed(1, engine("e", 1, live)), answer(1)}, "leaving"},
		{"its own response, then a lagging list", []func(*Registry){listed(1, engine("e", 1, live)), answer(1), listed(2, engine("e", 1, live))}, "leaving"},
		{"a peer's report", []func(*Registry){listed(1, engine("e", 1, live)), peer(1)}, "leaving"},
		{"a peer's report before the list", []func(*Registry){peer(1), listed(1, engine("e", 1, live))}, "leaving"},
		{"a peer's report about an older incarnation", []func(*Registry){listed(1, engine("e", 2, live)), peer(1)}, "live"},
		{"a peer's report about a newer incarnation", []func(*Registry){listed(1, engine("e", 1, live)), peer(2)}, "leaving"},
		{"no longer listed", []func(*Registry){listed(1, engine("e", 1, live)), listed(2)}, "gone"},
		{"no longer listed, then an older list", []func(*Registry){listed(1, engine("e", 1, live)), listed(3), listed(2, engine("e", 1, live))}, "gone"},
		{"listed as leaving, no longer listed, then live in the same incarnation", []func(*Registry){listed(1, engine("e", 1, leaving)), listed(2), listed(3, engine("e", 1, live))}, "leaving"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRegistry()
			for _, step := range tc.steps {
				step(r)
			}
			is.Equal(stateOf(r, "e"), tc.want)
		})
	}
}

func stateOf(r *Registry, id string) string {
	for _, t := range r.Snapshot().Pool("p") {
		if t.ID == id && t.Leaving {
			return "leaving"
		}
		if t.ID == id {
			return "live"
		}
	}
	return "gone"
}

// reports generates reports about one target.
var reports = rapid.Custom(func(t *rapid.T) Report {
	return Report{
		Target:      "e",
		Incarnation: rapid.Int64Range(1, 4).Draw(t, "incarnation"),
		Leaving:     rapid.Bool().Draw(t, "leaving"),
	}
})

func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := reports.Draw(t, "a"), reports.Draw(t, "b"), reports.Draw(t, "c")
		if Merge(a, a) != a || Merge(a, b) != Merge(b, a) || Merge(a, Merge(b, c)) != Merge(Merge(a, b), c) {
			t.Fatalf("Merge is not commutative, associative and idempotent: %+v %+v %+v", a, b, c)
		}
		if m := Merge(a, b); a.Supersedes(m) || b.Supersedes(m) {
			t.Fatal("an input supersedes the merge")
		}
	})
}

// TestNeverRevivedByOldWord applies lists and reports in any order. Once any source
// whose report was applied has reported an incarnation as leaving, no snapshot may
// show it, or an older one, as live.
func TestNeverRevivedByOldWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, newestVersion, newestLeaving := newTestRegistry(), int64(-1), int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			report := reports.Draw(t, "report")
			switch rapid.IntRange(0, 2).Draw(t, "source") {
			case 0:
				version := rapid.Int64Range(0, 30).Draw(t, "version")
				state := vmlist.StateLive
				if report.Leaving {
					state = vmlist.StateLeaving
				}
				r.Apply(list(version, engine("e", report.Incarnation, state)))
				if version <= newestVersion {
					continue
				}
				newestVersion = version
			case 1:
				r.ObserveLeaving("e", report.Incarnation)
				report.Leaving = true
			default:
				r.Learn(report)
			}
			if report.Leaving {
				newestLeaving = max(newestLeaving, report.Incarnation)
			}
			for _, target := range r.Snapshot().Pool("p") {
				if !target.Leaving && target.Incarnation <= newestLeaving {
					t.Fatalf("incarnation %d is live, though %d was reported as leaving", target.Incarnation, newestLeaving)
				}
			}
		}
	})
}

func TestOnLeavingIsCalledOncePerReport(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry()
	var passed []Report
	r.OnLeaving(func(w Report) { passed = append(passed, w) })
	r.Apply(list(1, engine("a", 1, vmlist.StateLive), engine("b", 1, vmlist.StateLeaving)))
	r.ObserveLeaving("a", 1)
	r.ObserveLeaving("a", 1)
	r.Learn(Report{Target: "a", Incarnation: 1, Leaving: true})
	r.Apply(list(2, engine("a", 1, vmlist.StateLeaving), engine("b", 1, vmlist.StateLeaving)))
	is.Equal(passed, []Report{{"b", 1, true}, {"a", 1, true}})
}

func TestFlappingTargetIsHeldDown(t *testing.T) {
	is := is.New(t)
	c := &clock{time.Unix(1000, 0)}
	cfg := damping.Config{Window: time.Minute, Threshold: 3, Base: 10 * time.Second, Max: time.Minute}
	r := newTestRegistry(WithClock(c.now), WithDamping(cfg))
	steady := []vmlist.VM{engine("a", 1, vmlist.StateLive), engine("b", 1, vmlist.StateLive), engine("c", 1, vmlist.StateLive)}
	version := int64(0)
	for incarnation := range int64(4) {
		version++
		r.Apply(list(version, append(steady, engine("e", incarnation+1, vmlist.StateLive))...))
	}
	is.Equal(stateOf(r, "e"), "leaving") // held
	is.Equal(stateOf(r, "a"), "live")
	c.t = c.t.Add(11 * time.Second)
	r.publishEndedHolds()
	is.Equal(stateOf(r, "e"), "live")
}

func TestAtMostAQuarterOfAPoolIsHeld(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry(WithClock((&clock{time.Unix(1000, 0)}).now))
	for incarnation := range int64(10) {
		var vms []vmlist.VM
		for i := range 8 {
			vms = append(vms, engine(fmt.Sprint("e", i), incarnation+1, vmlist.StateLive))
		}
		r.Apply(list(incarnation+1, vms...))
	}
	held := 0
	for _, target := range r.Snapshot().Pool("p") {
		if target.Leaving {
			held++
		}
	}
	is.Equal(held, 2)
}

func TestLeavingRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	l := newLeavingRecords()
	for i := range 20 {
		l.add(Report{Target: fmt.Sprint(i), Incarnation: 1, Leaving: true})
	}
	l.prune(map[string]bool{"0": true, "1": true}, 5)
	is.Equal(len(l.leaving), 7)
	is.Equal(len(l.order), 7)
	is.Equal(l.leaving["0"], int64(1))  // listed targets are kept
	is.Equal(l.leaving["19"], int64(1)) // the oldest are removed first
	is.Equal(l.leaving["2"], int64(0))
}
