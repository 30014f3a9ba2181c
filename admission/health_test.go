package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// TestOwnerSuspendsAFailingTarget: failures reported by a few nodes keep all nodes from
// sending to a target, until a trial request is answered.
func TestOwnerSuspendsAFailingTarget(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 6, 1)
	const bad = "engine-00"
	chat := uint64(0)
	acquire := func() Grant {
		chat++
		g, err := f.acquire(int(chat)%len(f.nodes), chat)
		is.NoErr(err)
		return g
	}
	// run returns how many of n requests are placed on the bad target.
	run := func(n int, r Result) int {
		failed := 0
		for range n {
			g := acquire()
			if g.Target.ID == bad {
				failed++
				g.Release(r)
			}
			g.Release(Answered)
			f.advance(0)
		}
		return failed
	}
	is.Equal(run(100, Failed), 3)
	is.Equal(run(100, Failed), 0) // the pause
	f.advance(time.Second)
	is.Equal(run(100, Failed), 1) // the trial fails, and a longer pause follows
	f.advance(2 * time.Second)
	trial := acquire()
	for trial.Target.ID != bad {
		trial.Release(Answered)
		trial = acquire()
	}
	is.Equal(run(100, Failed), 0)
	trial.Release(Answered)
	f.advance(0)
	is.True(run(100, Answered) > 5) // in use again
	owner := f.owner(t, 0)
	is.Equal(int(testutil.ToFloat64(owner.metrics.suspensions)), 2)
	is.Equal(owner.owned.suspended(), 0)
}

// TestEstimateAvoidsFailedTargets: without an owner's answer, a node prefers targets that
// didn't fail its own requests recently, and uses the others if there is no other choice.
func TestEstimateAvoidsFailedTargets(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 2, 1)
	owner := f.owner(t, 0)
	asker := slices.IndexFunc(f.nodes, func(n *fakeNode) bool { return n != owner })
	owner.fault = faultUnreachable
	place := func(r Result) string {
		g, err := f.acquire(asker, 1)
		is.NoErr(err)
		g.Release(r)
		return g.Target.ID
	}
	preferred := place(Unknown)
	is.Equal(place(Failed), preferred)
	other := place(Answered)
	is.True(other != preferred)
	place(Failed)
	is.Equal(place(Answered), preferred) // both failed: by rank
	is.Equal(place(Failed), preferred)
	f.advance(avoidDuration)
	is.Equal(place(Answered), preferred)
}
