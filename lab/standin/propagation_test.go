package standin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// serves reports whether a request to path is answered with 200.
func (n testNode) serves(path string) bool {
	return n.Do(Request{Path: path}).Status == http.StatusOK
}

// testNode adds helper methods to Node.
type testNode struct{ *Node }

func TestConfigurationTakesEffectEverywhere(t *testing.T) {
	is, s := is.New(t), start(t, 3)
	for _, n := range s.Nodes {
		is.Equal(n.Do(Request{Path: LaterPath}).Status, http.StatusNotFound)
	}
	s.Configure(AddRoute)
	for _, n := range s.Nodes {
		s.Eventually("the route is served", func() bool { return testNode{n}.serves(LaterPath) })
	}
}

// An unusable configuration leaves the previous one in force.
func TestUnusableConfiguration(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	s.Store.Put("op/config", []byte("{not JSON"))
	s.Eventually("the error is logged", func() bool {
		return strings.Contains(s.Nodes[0].Logs.String(), "value in the store is unusable")
	})
	is.True(testNode{s.Nodes[0]}.serves(SafePath))
	s.Configure(AddRoute)
	s.Eventually("the next valid configuration is in force", func() bool { return testNode{s.Nodes[0]}.serves(LaterPath) })
}

// A configuration with an older version is ignored, even at a newer store revision.
func TestOlderVersionIsIgnored(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	s.Configure(AddRoute)
	s.Eventually("the route is served", func() bool { return testNode{s.Nodes[0]}.serves(LaterPath) })
	s.Configure(func(cfg map[string]any) { cfg["version"] = 1 })
	s.Store.Put("servers/i-marker", s.Plain[0].Entry("draining"))
	s.Eventually("the node has the later change", func() bool {
		return strings.Contains(s.Nodes[0].Logs.String(), "i-marker")
	})
	is.True(testNode{s.Nodes[0]}.serves(LaterPath))
}

// A node whose calls the store fails, in any mode, gets changes from its peers.
func TestNodeWithoutStoreLearnsFromPeers(t *testing.T) {
	for name, mode := range map[string]Mode{"busy": Busy, "limited": Limited, "silent": Silent, "reset": Reset} {
		t.Run(name, func(t *testing.T) {
			s := start(t, 3)
			s.Store.SetModeFor("127.0.0.2", mode)
			s.Configure(AddRoute)
			s.Eventually("the route is served", func() bool { return testNode{s.Nodes[0]}.serves(LaterPath) })
			s.Store.Put("servers/"+s.Plain[0].ID, s.Plain[0].Entry("draining"))
			s.Store.Put("servers/"+s.Plain[1].ID, s.Plain[1].Entry("draining"))
			s.Eventually("the node has the draining entries", func() bool {
				a := s.Nodes[0].Do(Request{Path: SafePath})
				return s.Journal.Runs(a.ID)[0].Engine == s.Plain[2].ID
			})
		})
	}
}

// A watch that returns no events, and whose history is then compacted, is detected as stalled.
func TestStalledWatchIsDetected(t *testing.T) {
	s := start(t, 2)
	s.Store.SetDeaf(true)
	s.Configure(AddRoute)
	for _, n := range s.Nodes {
		s.Eventually("the route is served", func() bool { return testNode{n}.serves(LaterPath) })
	}
	s.Store.Compact()
	s.Store.SetDeaf(false)
	s.Configure()
	for _, n := range s.Nodes {
		s.Eventually("the route is gone", func() bool { return !testNode{n}.serves(LaterPath) })
	}
}

func TestStoreOutage(t *testing.T) {
	is, s := is.New(t), start(t, 2)
	s.Store.SetMode(Silent)
	for _, n := range s.Nodes {
		is.True(testNode{n}.serves(SafePath))
	}
	// All entries are removed during the outage; one is back when the store is.
	for _, e := range s.Engines() {
		s.Store.Remove("servers/" + e.ID)
	}
	s.Store.Put("servers/"+s.Plain[0].ID, s.Plain[0].Entry("ready"))
	s.Store.SetMode(Serving)
	for _, n := range s.Nodes {
		s.Eventually("the other targets are dropped after their grace period", func() bool {
			return strings.Count(n.Logs.String(), `"source":"grace"`) > 0
		})
		a := n.Do(Request{Path: SafePath})
		is.Equal(a.Status, http.StatusOK)
		is.Equal(s.Journal.Runs(a.ID)[0].Engine, s.Plain[0].ID)
	}
}

func TestDrainingTargetGetsNoNewRequests(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	s.Store.Put("servers/"+s.Plain[0].ID, s.Plain[0].Entry("draining"))
	s.Store.Remove("servers/" + s.Plain[1].ID)
	s.Eventually("the node has both changes", func() bool {
		return strings.Contains(s.Nodes[0].Logs.String(), `"target":"`+s.Plain[1].ID+`","service":"plain-pool","addr":"`+s.Plain[1].Addr()+`","change":"lapses"`)
	})
	for range 20 {
		a := s.Nodes[0].Do(Request{Path: SafePath})
		is.Equal(s.Journal.Runs(a.ID)[0].Engine, s.Plain[2].ID)
	}
}

func TestCrashedTargetIsSkipped(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	s.Plain[0].Crash()
	for range 20 {
		a := s.Nodes[0].Do(Request{Path: UnsafePath, Body: "x"})
		is.Equal(a.Status, http.StatusOK)
	}
}

// A stopping node aborts no request. Streams in progress complete. A request on a keep-alive
// connection is answered, or its connection is closed before the request is read, or it is
// refused if it arrives just as the node stops to accept requests. The refusal states
// correctly that the request did not run, closes the connection and has a short Retry-After;
// the other node serves such a request at once.
func TestStopAbortsNoRequest(t *testing.T) {
	is, s := is.New(t), start(t, 2)
	for _, e := range s.Model {
		e.Events, e.Pace = 20, 50*time.Millisecond
	}
	node := s.Nodes[0]
	var wg sync.WaitGroup
	answers := make(chan Answer, 1000)
	began := time.Now()
	const callers = 8
	refusals := 0
	for range callers {
		wg.Go(func() {
			for time.Since(began) < 2*Grace {
				a := node.Do(Request{Path: UnsafePath, Body: "x"})
				answers <- a
				if a.Status == 0 {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
		wg.Go(func() { answers <- node.Do(Request{Path: StreamPath, Body: "x"}) })
	}
	time.Sleep(200 * time.Millisecond)
	go node.Stop(context.Background())
	s.Eventually("the node is not ready", func() bool { return !node.Ready() })
	wg.Wait()
	close(answers)
	for a := range answers {
		if a.Status == 0 {
			is.Equal(len(s.Journal.Runs(a.ID)), 0) // not run: the caller may retry on another node
			continue
		}
		is.NoErr(a.Err)
		if a.Status == http.StatusServiceUnavailable {
			refusals++
			checkStopRefusal(is, s, a)
			continue
		}
		is.Equal(a.Status, http.StatusOK)
	}
	t.Log("requests refused as the node stopped to accept requests:", refusals)
	is.True(refusals <= callers) // each closes its connection
}

// maxStopRetryAfter is the longest Retry-After of a stopping node, in seconds: the other nodes
// can serve the request at once.
const maxStopRetryAfter = 0.05

// checkStopRefusal checks a stopping node's refusal of a request.
func checkStopRefusal(is *is.I, s *Site, a Answer) {
	is.Helper()
	is.Equal(len(s.Journal.Runs(a.ID)), 0)
	var p struct{ Error, Ran string }
	is.NoErr(json.Unmarshal([]byte(a.Body), &p))
	is.Equal(p.Error, "stopping")
	is.Equal(p.Ran, "no")
	is.True(a.Closes)
	wait, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(wait > 0 && wait <= maxStopRetryAfter)
	is.Equal(s.Nodes[1].Do(Request{Path: UnsafePath, Body: "x"}).Status, http.StatusOK)
}

// When engines join, requests with a prompt still go to the engine that has its parts cached.
// When that engine is draining, the parts are fetched from it.
func TestCachedPartsAreReused(t *testing.T) {
	is, s := is.New(t), start(t, 2)
	engineOf := func(n *Node) Run {
		a := n.Do(Request{Path: StreamPath, Body: "x"})
		return s.Journal.Runs(a.ID)[0]
	}
	holder := engineOf(s.Nodes[0]).Engine
	for i := range 6 {
		e := NewEngine(t, "i-new-"+string(rune('a'+i)), ModelPool, "zone-0", s.Journal)
		s.Store.Put("servers/"+e.ID, e.Entry("ready"))
	}
	s.Eventually("the node has the new entries", func() bool { return strings.Contains(s.Nodes[1].Logs.String(), "i-new-f") })
	is.Equal(engineOf(s.Nodes[0]).Engine, holder)
	s.Eventually("the other node has the parts' engine", func() bool { return engineOf(s.Nodes[1]).Engine == holder })
	time.Sleep(time.Second) // until the parts count as cached
	var leaving *Engine
	for _, e := range s.Model {
		if e.ID == holder {
			leaving = e
		}
	}
	s.Store.Put("servers/"+holder, leaving.Entry("draining"))
	s.Eventually("the node has the draining entries", func() bool {
		return strings.Contains(s.Nodes[0].Logs.String(), leaving.Addr()+`","change":"drains"`)
	})
	run := engineOf(s.Nodes[0])
	is.True(run.Engine != holder)
	is.Equal(run.Header.Get("Kv-Fetch"), leaving.Addr())
}

// The end of an outage is detected before the first change to the store, so that an entry
// removed later is not taken for one that lapsed during the outage.
func TestStoreRecoveryIsDetected(t *testing.T) {
	s := start(t, 1)
	s.Store.SetMode(Busy)
	logs := s.Nodes[0].Logs
	s.Eventually("the outage is detected", func() bool { return strings.Contains(logs.String(), "store lost") })
	s.Store.SetMode(Serving)
	s.Eventually("the recovery is detected", func() bool { return strings.Contains(logs.String(), "store regained") })
}

// All nodes stop at once; nodes started afterwards send each prompt to the engine that has its
// parts cached, though engines have joined meanwhile.
func TestCachedPartsAreKnownAfterAllNodesRestart(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	engineOf := func(n *Node) string {
		a := n.Do(Request{Path: StreamPath, Body: "x"})
		return s.Journal.Runs(a.ID)[0].Engine
	}
	holder := engineOf(s.Nodes[0])
	s.Eventually("the nodes' snapshot is in the store", func() bool {
		engineOf(s.Nodes[0])
		return s.Store.Has("knapweedgw/note")
	})
	s.StopAll()
	for i := range 12 {
		e := NewEngine(t, "i-new-"+string(rune('a'+i)), ModelPool, "zone-0", s.Journal)
		s.Store.Put("servers/"+e.ID, e.Entry("ready"))
	}
	s.Start(1)
	is.Equal(engineOf(s.Nodes[0]), holder)
}

// An unusable snapshot (the store's key knapweedgw/note) is ignored.
func TestUnusableSnapshotIsIgnored(t *testing.T) {
	is, s := is.New(t), NewSite(t)
	s.Store.Put("knapweedgw/note", []byte("\xff\x00"))
	s.Start(1)
	is.True(testNode{s.Nodes[0]}.serves(SafePath))
	is.True(strings.Contains(s.Nodes[0].Logs.String(), "note in the store is unusable"))
}
