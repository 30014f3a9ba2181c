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

func (n nodeOf) serves(path string) bool {
	return n.Do(Request{Path: path}).Status == http.StatusOK
}

type nodeOf struct{ *Node }

func TestConfigurationTakesEffectEverywhere(t *testing.T) {
	is, s := is.New(t), start(t, 3)
	for _, n := range s.Nodes {
		is.Equal(n.Do(Request{Path: LaterPath}).Status, http.StatusNotFound)
	}
	s.Configure(AddRoute)
	for _, n := range s.Nodes {
		s.Eventually("the route is served", func() bool { return nodeOf{n}.serves(LaterPath) })
	}
}

// A configuration that can't be used leaves the last one in force.
func TestUnusableConfiguration(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	s.Store.Put("op/config", []byte("{not JSON"))
	s.Eventually("the fault is logged", func() bool {
		return strings.Contains(s.Nodes[0].Logs.String(), "value in the store is unusable")
	})
	is.True(nodeOf{s.Nodes[0]}.serves(SafePath))
	s.Configure(AddRoute)
	s.Eventually("a good one follows", func() bool { return nodeOf{s.Nodes[0]}.serves(LaterPath) })
}

// Older versions never come back, whatever their revision.
func TestOlderVersionIsIgnored(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	s.Configure(AddRoute)
	s.Eventually("the route is served", func() bool { return nodeOf{s.Nodes[0]}.serves(LaterPath) })
	s.Configure(func(cfg map[string]any) { cfg["version"] = 1 })
	s.Store.Put("servers/i-marker", s.Plain[0].Entry("draining"))
	s.Eventually("what came after is known", func() bool {
		return strings.Contains(s.Nodes[0].Logs.String(), "i-marker")
	})
	is.True(nodeOf{s.Nodes[0]}.serves(LaterPath))
}

// Nodes that the store turns away, in whatever way, learn from the others.
func TestNodeThatIsTurnedAwayLearnsFromPeers(t *testing.T) {
	for name, mode := range map[string]Mode{"busy": Busy, "limited": Limited, "silent": Silent, "reset": Reset} {
		t.Run(name, func(t *testing.T) {
			s := start(t, 3)
			s.Store.TurnAway("127.0.0.2", mode)
			s.Configure(AddRoute)
			s.Eventually("the route is served", func() bool { return nodeOf{s.Nodes[0]}.serves(LaterPath) })
			s.Store.Put("servers/"+s.Plain[0].ID, s.Plain[0].Entry("draining"))
			s.Store.Put("servers/"+s.Plain[1].ID, s.Plain[1].Entry("draining"))
			s.Eventually("the leaving is known", func() bool {
				a := s.Nodes[0].Do(Request{Path: SafePath})
				return s.Journal.Runs(a.ID)[0].Engine == s.Plain[2].ID
			})
		})
	}
}

// A watch that hears nothing, and then finds its history gone, is noticed.
func TestDeafWatchIsNoticed(t *testing.T) {
	s := start(t, 2)
	s.Store.SetDeaf(true)
	s.Configure(AddRoute)
	for _, n := range s.Nodes {
		s.Eventually("the route is served", func() bool { return nodeOf{n}.serves(LaterPath) })
	}
	s.Store.Compact()
	s.Store.SetDeaf(false)
	s.Configure()
	for _, n := range s.Nodes {
		s.Eventually("the route is gone", func() bool { return !nodeOf{n}.serves(LaterPath) })
	}
}

func TestOutageOfTheStore(t *testing.T) {
	is, s := is.New(t), start(t, 2)
	s.Store.SetMode(Silent)
	for _, n := range s.Nodes {
		is.True(nodeOf{n}.serves(SafePath))
	}
	// All entries lapse meanwhile; some are back when the store is.
	for _, e := range s.Engines() {
		s.Store.Remove("servers/" + e.ID)
	}
	s.Store.Put("servers/"+s.Plain[0].ID, s.Plain[0].Entry("ready"))
	s.Store.SetMode(Serving)
	for _, n := range s.Nodes {
		s.Eventually("the others are gone after their grace", func() bool {
			return strings.Count(n.Logs.String(), `"source":"grace"`) > 0
		})
		a := n.Do(Request{Path: SafePath})
		is.Equal(a.Status, http.StatusOK)
		is.Equal(s.Journal.Runs(a.ID)[0].Engine, s.Plain[0].ID)
	}
}

func TestDrainingTargetGetsNothingNew(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	s.Store.Put("servers/"+s.Plain[0].ID, s.Plain[0].Entry("draining"))
	s.Store.Remove("servers/" + s.Plain[1].ID)
	s.Eventually("both are known to leave", func() bool {
		return strings.Contains(s.Nodes[0].Logs.String(), `"target":"`+s.Plain[1].ID+`","service":"plain-pool","addr":"`+s.Plain[1].Addr()+`","change":"lapses"`)
	})
	for range 20 {
		a := s.Nodes[0].Do(Request{Path: SafePath})
		is.Equal(s.Journal.Runs(a.ID)[0].Engine, s.Plain[2].ID)
	}
}

func TestCrashedTargetIsPassedOver(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	s.Plain[0].Crash()
	for range 20 {
		a := s.Nodes[0].Do(Request{Path: UnsafePath, Body: "x"})
		is.Equal(a.Status, http.StatusOK)
	}
}

// A stop cuts nothing: streams in progress end whole, and requests on kept connections are
// answered, or their connections closed unread, or refused if they cross the moment from
// which the node takes no more. Such a refusal is true, its caller is told to come back at
// once on a new connection, and is served by the other node.
func TestStopCutsNothing(t *testing.T) {
	is, s := is.New(t), start(t, 2)
	for _, e := range s.Model {
		e.Events, e.Pace = 20, 50*time.Millisecond
	}
	node := s.Nodes[0]
	var wg sync.WaitGroup
	answers := make(chan Answer, 1000)
	begin := time.Now()
	const callers = 8
	refusals := 0
	for range callers {
		wg.Go(func() {
			for time.Since(begin) < 2*Grace {
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
			is.Equal(len(s.Journal.Runs(a.ID)), 0) // not taken: the caller may go elsewhere
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
	t.Log("requests that crossed the moment from which the node takes no more:", refusals)
	is.True(refusals <= callers) // each ends its connection
}

// mostStopDelay is the longest that a caller of a stopping node is told to wait, in
// seconds: the other nodes can serve it at once.
const mostStopDelay = 0.05

// checkStopRefusal checks the refusal of a request by a node that stops.
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
	is.True(wait > 0 && wait <= mostStopDelay)
	is.Equal(s.Nodes[1].Do(Request{Path: UnsafePath, Body: "x"}).Status, http.StatusOK)
}

// Parts of a prompt stay where they are when engines join, and are fetched
// from a leaving engine.
func TestPartsAreKept(t *testing.T) {
	is, s := is.New(t), start(t, 2)
	engineOf := func(n *Node) Run {
		a := n.Do(Request{Path: StreamPath, Body: "x"})
		return s.Journal.Runs(a.ID)[0]
	}
	home := engineOf(s.Nodes[0]).Engine
	for i := range 6 {
		e := NewEngine(t, "i-new-"+string(rune('a'+i)), ModelPool, "zone-0", s.Journal)
		s.Store.Put("servers/"+e.ID, e.Entry("ready"))
	}
	s.Eventually("they are known", func() bool { return strings.Contains(s.Nodes[1].Logs.String(), "i-new-f") })
	is.Equal(engineOf(s.Nodes[0]).Engine, home)
	s.Eventually("the other node has heard", func() bool { return engineOf(s.Nodes[1]).Engine == home })
	time.Sleep(time.Second) // the parts settle
	var leaving *Engine
	for _, e := range s.Model {
		if e.ID == home {
			leaving = e
		}
	}
	s.Store.Put("servers/"+home, leaving.Entry("draining"))
	s.Eventually("the leaving is known", func() bool {
		return strings.Contains(s.Nodes[0].Logs.String(), leaving.Addr()+`","change":"drains"`)
	})
	run := engineOf(s.Nodes[0])
	is.True(run.Engine != home)
	is.Equal(run.Header.Get("Kv-Fetch"), leaving.Addr())
}

// A store that is back is known to be back before it has anything to tell, so
// that what vanishes later is not taken for a lapse of the outage.
func TestReturnOfTheStoreIsNoticed(t *testing.T) {
	s := start(t, 1)
	s.Store.SetMode(Busy)
	logs := s.Nodes[0].Logs
	s.Eventually("the store is lost", func() bool { return strings.Contains(logs.String(), "store lost") })
	s.Store.SetMode(Serving)
	s.Eventually("the store is back", func() bool { return strings.Contains(logs.String(), "store regained") })
}

// All nodes stop at once; those that begin afterwards send each prompt where
// its parts are, though engines have joined since.
func TestPartsOutliveAllNodes(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	engineOf := func(n *Node) string {
		a := n.Do(Request{Path: StreamPath, Body: "x"})
		return s.Journal.Runs(a.ID)[0].Engine
	}
	home := engineOf(s.Nodes[0])
	s.Eventually("the parts are noted", func() bool {
		engineOf(s.Nodes[0])
		return s.Store.Has("knapweedgw/note")
	})
	s.StopAll()
	for i := range 12 {
		e := NewEngine(t, "i-new-"+string(rune('a'+i)), ModelPool, "zone-0", s.Journal)
		s.Store.Put("servers/"+e.ID, e.Entry("ready"))
	}
	s.Start(1)
	is.Equal(engineOf(s.Nodes[0]), home)
}

// A note that can't be used is left aside.
func TestUnusableNote(t *testing.T) {
	is, s := is.New(t), NewSite(t)
	s.Store.Put("knapweedgw/note", []byte("\xff\x00"))
	s.Start(1)
	is.True(nodeOf{s.Nodes[0]}.serves(SafePath))
	is.True(strings.Contains(s.Nodes[0].Logs.String(), "note in the store is unusable"))
}
