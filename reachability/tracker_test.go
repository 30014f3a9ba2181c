package reachability

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func target(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

// lose makes a tracker observe that the paths to n targets are lost, one each millisecond from ms on.
func lose(t *Tracker, n int, hung bool, ms int) Change {
	c := Unchanged
	for i := range n {
		t.DirectFailed(target(i), hung, at(ms+i))
		c = t.TunnelOpened(target(i), at(ms+i))
	}
	return c
}

// Guards against each target's path being found lost by a timeout of its own, while callers wait: after
// the first, attempts to the others start soon over both paths, and from the third on only over
// another node.
func TestLaterTargetsDoNotPayForWhatTheFirstShowed(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultConfig())
	is.Equal(tr.Plan(target(9), at(0)), Plan{Direct: true, TunnelAfter: DefaultConfig().HeadStart})
	is.Equal(lose(tr, 1, true, 0), PathLost)
	is.Equal(tr.Plan(target(0), at(1)).Direct, true) // the first trial
	is.Equal(tr.Plan(target(0), at(2)), Plan{})
	is.Equal(tr.Plan(target(9), at(2)), Plan{Direct: true, TunnelAfter: DefaultConfig().SuspicionHeadStart})
	is.Equal(lose(tr, 3, true, 10), Partitioned)
	is.True(tr.Hung())
	is.Equal(tr.Plan(target(9), at(20)), Plan{})
}

// Guards against a node without a path for a target that is down: other nodes don't reach it either.
func TestTargetsThatNobodyReachesAreNoPartition(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultConfig())
	for i := range 20 {
		is.Equal(tr.DirectFailed(target(i), true, at(i)), Unchanged)
		is.True(!tr.IsLost(target(i)))
	}
	is.True(!tr.IsPartitioned())
	is.True(tr.MayBePartitioned(at(20))) // such a node doesn't vouch for its path
	tr.DirectOpened(target(30), at(21))
	is.True(!tr.MayBePartitioned(at(22)))
}

// Guards against a partition that is inferred from some targets although others accept connections.
func TestPathsToSomeTargetsAreLost(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultConfig())
	for i := range 12 {
		tr.DirectFailed(target(i), false, at(10*i))
		is.Equal(tr.TunnelOpened(target(i), at(10*i+1)), PathLost)
		is.Equal(tr.DirectOpened(target(100), at(10*i+2)), Unchanged)
	}
	is.True(!tr.IsPartitioned())
	is.True(tr.IsLost(target(3)))
	is.True(!tr.Hung())
	is.Equal(tr.DirectOpened(target(3), at(200)), PathRestored)
	is.Equal(tr.Plan(target(3), at(2000)), Plan{Direct: true, TunnelAfter: DefaultConfig().HeadStart})
}

// A hung attempt fails only after another node has connected to the target already.
func TestLateFailureAfterATunnelCounts(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultConfig())
	is.Equal(tr.TunnelOpened(target(0), at(150)), Unchanged)
	is.Equal(tr.DirectFailed(target(0), true, at(400)), PathLost)
}

// Guards against requests that depend on another node's life although this node's own path works: a
// connection that another node has opened is given up when a direct attempt succeeds after all.
func TestSlowPathIsUsedAgainAtOnce(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultConfig())
	is.Equal(tr.TunnelOpened(target(0), at(160)), Unchanged)
	tr.DirectPending(at(160))
	is.True(tr.Plan(target(1), at(200)).TunnelAfter > 0)
	is.Equal(tr.DirectOpened(target(0), at(300)), PathRestored)
	is.Equal(tr.DirectOpened(target(0), at(400)), Unchanged)
}

func TestPartitionEndsWhenDirectAttemptsSucceedForAWhile(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	tr := NewTracker(cfg)
	is.Equal(lose(tr, 3, true, 0), Partitioned)
	interval := int(cfg.TrialInterval.Milliseconds())
	is.Equal(tr.Plan(target(5), at(10)), Plan{})
	is.Equal(tr.Plan(target(5), at(10+interval)), Plan{Direct: true})
	is.Equal(tr.DirectOpened(target(5), at(300)), Unchanged)
	is.Equal(tr.DirectFailed(target(6), true, at(400)), Unchanged) // it comes and goes
	is.Equal(tr.DirectOpened(target(5), at(650)), Unchanged)
	is.Equal(tr.DirectOpened(target(6), at(900)), Unchanged)
	is.Equal(tr.DirectOpened(target(6), at(960)), Rejoined)
	is.True(!tr.IsLost(target(0)))
}

// Guards against connections that are moved to and fro while a link flaps: each loss soon after the end
// of a partition doubles the time for which the path has to work, up to a bound.
func TestFlappingPathIsUsedAgainLater(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	tr := NewTracker(cfg)
	ms, last := 0, time.Duration(0)
	for range 6 {
		is.Equal(lose(tr, 3, false, ms), Partitioned)
		began := ms + 100
		ms = began
		for tr.DirectOpened(target(0), at(ms)) != Rejoined {
			ms += 10
		}
		took := time.Duration(ms-began) * time.Millisecond
		is.True(took >= last && took <= cfg.MaxRecovery)
		last = took
		ms += 100
	}
	is.Equal(last, cfg.MaxRecovery)
}

// Guards against a node that never uses its own path again since it opens no connections: those that
// other nodes carry are reused.
func TestLostPathsAreTriedWithoutNewConnections(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	tr := NewTracker(cfg)
	_, ok := tr.Trial(at(0))
	is.True(!ok)
	is.Equal(lose(tr, 2, false, 0), PathLost)
	tried := make(map[string]int)
	for ms := 10; ms < 1010; ms += 50 {
		if addr, ok := tr.Trial(at(ms)); ok {
			tried[addr]++
		}
	}
	is.Equal(tried, map[string]int{target(0): 4, target(1): 4})
	is.Equal(lose(tr, 3, false, 2000), Partitioned)
	tried = make(map[string]int)
	for ms := 2000; ms < 5260; ms += 50 {
		if addr, ok := tr.Trial(at(ms)); ok {
			tried[addr]++
		}
	}
	is.Equal(tried, map[string]int{target(0): 4, target(1): 4, target(2): 4})
}

// Guards against trials of thousands of targets from each node of a failure domain that is cut off.
func TestPartitionedNodeBoundsItsProbes(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultConfig())
	for range 100 {
		is.True(tr.TakeProbe(50*time.Millisecond, at(0)))
	}
	lose(tr, 3, true, 0)
	probes := 0
	for ms := range 1000 {
		for range 20 {
			if tr.TakeProbe(50*time.Millisecond, at(ms)) {
				probes++
			}
		}
	}
	is.Equal(probes, 20)
}

// For any order of events: a plan always has an attempt that may succeed, a node that has just opened a
// direct connection outside a partition doesn't refuse to vouch for its path, and state is bounded by
// the targets heard of lately.
func TestTrackerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		tr := NewTracker(cfg)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "later ms")) * time.Millisecond)
			addr := target(rapid.IntRange(0, 5).Draw(t, "target"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				tr.DirectOpened(addr, now)
				if !tr.IsPartitioned() && tr.MayBePartitioned(now) {
					t.Fatal("no path right after a direct connection")
				}
			case 1:
				tr.DirectFailed(addr, rapid.Bool().Draw(t, "hung"), now)
			case 2:
				tr.TunnelOpened(addr, now)
			case 3:
				if p := tr.Plan(addr, now); !p.Direct && !tr.IsLost(addr) {
					t.Fatalf("no attempt: %+v", p)
				}
			}
		}
		for range 100 {
			now = now.Add(cfg.ForgetAfter)
			if addr, ok := tr.Trial(now); ok {
				tr.DirectFailed(addr, true, now)
			}
		}
		if !tr.IsPartitioned() && tr.HasLost() {
			t.Fatal("a path is tried for ever")
		}
		if len(tr.paths) > 6 {
			t.Fatal("state of targets that don't exist")
		}
	})
}
