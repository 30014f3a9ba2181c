package standin_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

const (
	// awayTime is how long the store resets calls before it comes back from a copy.
	awayTime = 300 * time.Millisecond
	// rewriteTime is within which the operator and the engines write again what the copy lacks, and expiryTime after
	// how long the store removes the entry of an engine that is gone, both with a margin.
	rewriteTime = 2500 * time.Millisecond
	expiryTime  = 4 * time.Second
)

// comeBack makes the store come back from a copy. meanwhile writes to it before any node can read it.
func comeBack(s *Site, c *Snapshot, meanwhile func()) {
	s.Store.SetMode(Reset)
	time.Sleep(awayTime)
	s.Store.Restore(c)
	meanwhile()
	s.Store.SetMode(Serving)
}

func nothing() {}

// fill makes the store's revision n.
func fill(s *Site, n int64) {
	for s.Store.Revision() < n {
		s.Store.Put("other/filler", []byte("{}"))
	}
}

// advance writes the next configuration, preceded by changes of other keys, and waits until all nodes have it.
func advance(s *Site, change ...func(map[string]any)) {
	fill(s, s.Store.Revision()+20)
	s.Configure(change...)
	awaitConfigured(s)
}

// awaitConfigured waits until the newest configuration is in force on all nodes.
func awaitConfigured(s *Site) {
	s.T.Helper()
	s.Eventually("the configuration is in force", func() bool {
		for i, n := range s.Nodes {
			line := fmt.Sprintf(`"msg":"configuration in force","node":"node-%d","version":%d,`, i, s.Version())
			if !strings.Contains(n.Logs.String(), line) {
				return false
			}
		}
		return true
	})
}

// onlyEngine reports whether a node sends requests to no plain engine but one.
func onlyEngine(s *Site, n *Node, e *Engine) bool {
	for range 12 {
		runs := s.Journal.Runs(n.Do(Request{Path: SafePath}).ID)
		if len(runs) == 0 || runs[0].Engine != e.ID {
			return false
		}
	}
	return true
}

// load sends requests to all nodes until stop is called, which returns how many weren't answered with 200.
func load(s *Site) (stop func() (failed int)) {
	var work sync.WaitGroup
	end, failed := make(chan struct{}), make([]int, len(s.Nodes))
	for i, n := range s.Nodes {
		work.Go(func() {
			for {
				select {
				case <-end:
					return
				case <-time.After(10 * time.Millisecond):
				}
				if a := n.Do(Request{Path: SafePath}); a.Err != nil || a.Status != http.StatusOK {
					failed[i]++
				}
			}
		})
	}
	return func() int {
		close(end)
		work.Wait()
		all := 0
		for _, n := range failed {
			all += n
		}
		return all
	}
}

// Guards against changes that are never in force since the store, back from an older copy, numbers them lower than what
// the nodes have: below the old revision, up to it, and beyond it before any node has read the store again.
func TestChangesAfterStoreRestoreTakeEffect(t *testing.T) {
	for name, beyond := range map[string]int64{"below": -10, "equal": 0, "beyond": 7} {
		t.Run(name, func(t *testing.T) {
			s := start(t, 3)
			c := s.Store.Snapshot()
			advance(s)
			old := s.Store.Revision()
			comeBack(s, c, func() {
				s.Configure(AddRoute)
				s.Store.Put("servers/"+s.Plain[0].ID, s.Plain[0].Entry("draining"))
				s.Store.Remove("servers/" + s.Plain[1].ID)
				fill(s, old+beyond)
			})
			for _, n := range s.Nodes {
				s.Eventually("the route is served", func() bool { return testNode{n}.serves(LaterPath) })
				s.Eventually("the engines that leave and left get nothing", func() bool { return onlyEngine(s, n, s.Plain[2]) })
			}
		})
	}
}

// Guards against changes that are never in force at nodes that can't reach the store when it comes back from a
// copy, and at nodes that start after it.
func TestNodesWithoutStoreLearnOfItsRestore(t *testing.T) {
	s := start(t, 3)
	c := s.Store.Snapshot()
	advance(s)
	s.Store.SetModeFor("127.0.0.2", Silent)
	comeBack(s, c, nothing)
	s.Restart(2)
	s.Configure(AddRoute)
	for _, n := range s.Nodes {
		s.Eventually("the route is served", func() bool { return testNode{n}.serves(LaterPath) })
	}
}

// Guards against changes that are never in force after two restores within seconds.
func TestChangesAfterTwoStoreRestoresTakeEffect(t *testing.T) {
	s := start(t, 3)
	c := s.Store.Snapshot()
	advance(s)
	comeBack(s, c, nothing)
	time.Sleep(time.Second)
	comeBack(s, c, func() { s.Configure(AddRoute) })
	for _, n := range s.Nodes {
		s.Eventually("the route is served", func() bool { return testNode{n}.serves(LaterPath) })
	}
}

// Guards against nodes that call the store again without a pause, since it has no events after their revision.
func TestStoreRestoreCausesFewCalls(t *testing.T) {
	is, s := is.New(t), start(t, 3)
	c := s.Store.Snapshot()
	advance(s)
	comeBack(s, c, nothing)
	before := s.Store.Calls()
	time.Sleep(2 * time.Second)
	calls := s.Store.Calls() - before
	t.Logf("%d calls", calls)
	is.True(calls <= 60) // ten a second and node, a tenth of what a node may call
}

// Guards against a node that starts after a restore and takes the copy's configuration, in which a revoked key is
// valid, since the other nodes' newer one has a lower revision.
func TestNodeStartedAfterStoreRestoreGetsTheNewerConfiguration(t *testing.T) {
	is, s := is.New(t), start(t, 3)
	c := s.Store.Snapshot()
	advance(s, AddRoute)
	comeBack(s, c, nothing)
	s.Restart(2)
	for _, n := range s.Nodes {
		s.Eventually("the newer configuration is in force", func() bool { return testNode{n}.serves(LaterPath) })
	}
	s.Configure()
	awaitConfigured(s)
	for _, n := range s.Nodes {
		is.True(!testNode{n}.serves(LaterPath))
	}
}

// Guards against requests to an engine that is known to leave, since the copy lacks that.
func TestEngineKnownToLeaveGetsNothingAfterStoreRestore(t *testing.T) {
	is, s := is.New(t), start(t, 3)
	leaving := s.Plain[0]
	s.Store.Put("servers/"+leaving.ID, leaving.Entry("ready"))
	c := s.Store.Snapshot()
	s.Store.Put("servers/"+leaving.ID, leaving.Entry("draining"))
	advance(s)
	before := s.Journal.ArrivalsAt(leaving.ID)
	stop := load(s)
	comeBack(s, c, nothing)
	time.Sleep(rewriteTime)
	s.Store.Put("servers/"+leaving.ID, leaving.Entry("draining"))
	time.Sleep(awayTime)
	is.Equal(stop(), 0)
	is.Equal(s.Journal.ArrivalsAt(leaving.ID), before)
}

// Guards against requests to engines that are known to leave or to be gone, at a node that starts after the restore
// and finds them in the copy.
func TestNodeStartedAfterStoreRestoreLearnsWhatOthersKnow(t *testing.T) {
	is, s := is.New(t), start(t, 3)
	leaving, gone := s.Plain[0], s.Plain[1]
	s.Store.Put("servers/"+leaving.ID, leaving.Entry("ready"))
	c := s.Store.Snapshot()
	s.Store.Put("servers/"+leaving.ID, leaving.Entry("draining"))
	s.Store.Remove("servers/" + gone.ID)
	advance(s)
	s.Eventually("it is gone", func() bool { return allLogged(s, `"change":"gone"`) })
	comeBack(s, c, nothing)
	s.Restart(2)
	s.Eventually("the node has asked another", func() bool {
		return strings.Contains(s.Nodes[2].Logs.String(), "asked a node what it knows better than the store")
	})
	is.True(onlyEngine(s, s.Nodes[2], s.Plain[2]))
	for range 20 {
		time.Sleep(50 * time.Millisecond)
		is.True(onlyEngine(s, s.Nodes[2], s.Plain[2]))
	}
	s.Store.Put("servers/"+gone.ID, gone.Entry("ready"))
	s.Eventually("an engine that has written again is used", func() bool { return !onlyEngine(s, s.Nodes[2], s.Plain[2]) })
}

// Guards against requests to an engine that is known to be gone, since the copy still has its entry.
func TestEngineKnownToBeGoneGetsNothingAfterStoreRestore(t *testing.T) {
	is, s := is.New(t), start(t, 3)
	gone := s.Plain[0]
	c := s.Store.Snapshot()
	s.Store.Remove("servers/" + gone.ID)
	advance(s)
	s.Eventually("it is gone", func() bool { return allLogged(s, `"change":"gone"`) })
	before := s.Journal.ArrivalsAt(gone.ID)
	stop := load(s)
	comeBack(s, c, nothing)
	time.Sleep(expiryTime)
	s.Store.Remove("servers/" + gone.ID)
	time.Sleep(awayTime)
	is.Equal(stop(), 0)
	is.Equal(s.Journal.ArrivalsAt(gone.ID), before)
}

// Guards against an engine that is kept away for good, although it has written its entry again after it was known to be
// gone.
func TestEngineThatRegistersAgainAfterStoreRestoreIsUsed(t *testing.T) {
	s := start(t, 3)
	e := s.Plain[0]
	c := s.Store.Snapshot()
	s.Store.Remove("servers/" + e.ID)
	advance(s)
	s.Eventually("it is gone", func() bool { return allLogged(s, `"change":"gone"`) })
	comeBack(s, c, nothing)
	s.Store.Put("servers/"+e.ID, e.Entry("ready"))
	for _, n := range s.Nodes {
		s.Eventually("it is used again", func() bool {
			runs := s.Journal.Runs(n.Do(Request{Path: SafePath}).ID)
			return len(runs) > 0 && runs[0].Engine == e.ID
		})
	}
}

// Guards against refusals while the copy lacks engines that haven't written their entries again yet.
func TestEnginesThatTheCopyLacksAreKept(t *testing.T) {
	is, s := is.New(t), start(t, 3)
	c := s.Store.Snapshot().Without("servers/" + s.Plain[0].ID[:len("i-plain")])
	advance(s)
	stop := load(s)
	comeBack(s, c, nothing)
	time.Sleep(1500 * time.Millisecond)
	for _, e := range s.Plain {
		s.Store.Put("servers/"+e.ID, e.Entry("ready"))
	}
	time.Sleep(time.Second)
	is.Equal(stop(), 0)
}

// Guards against requests to a failure domain that is known to be evacuated, since the copy lacks that, and against a
// domain that stays evacuated when the operator has ended it.
func TestEvacuationIsKeptOverStoreRestore(t *testing.T) {
	is, s := is.New(t), start(t, 3)
	c := s.Store.Snapshot()
	evacuate(s, evacuateZone0)
	advance(s)
	before := s.Journal.ArrivalsAt(s.Plain[0].ID)
	stop := load(s)
	comeBack(s, c, nothing)
	time.Sleep(rewriteTime)
	s.Store.Put(evacuateZone0, map[string]any{})
	time.Sleep(awayTime)
	is.Equal(stop(), 0)
	is.Equal(s.Journal.ArrivalsAt(s.Plain[0].ID), before)
	s.Store.Remove(evacuateZone0)
	s.Eventually("the domain is used again", func() bool {
		return zoneOf(s, s.Nodes[0].Do(Request{Path: SafePath}).ID) == "zone-0"
	})
}

// Guards against notes that are gone for good, since the nodes take them to be in the store.
func TestNotesAreWrittenAgainAfterStoreRestore(t *testing.T) {
	s := start(t, 3)
	for _, key := range []string{"knapweedgw/note", "knapweedgw/versions"} {
		s.Eventually(key+" is written", func() bool { return s.Store.Has(key) })
	}
	advance(s)
	comeBack(s, s.Store.Snapshot().Without("knapweedgw/"), nothing)
	for _, key := range []string{"knapweedgw/note", "knapweedgw/versions"} {
		s.Eventually(key+" is written again", func() bool { return s.Store.Has(key) })
	}
}
