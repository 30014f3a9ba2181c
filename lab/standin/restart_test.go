package standin_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// holderOf returns the engine that runs the stream of the shared prompt and so caches its
// parts.
func holderOf(s *Site, n *Node) *Engine {
	run := streamRun(s, n)
	for _, e := range s.Model {
		if e.ID == run.Engine {
			return e
		}
	}
	s.T.Fatalf("no engine %s", run.Engine)
	return nil
}

// streamRun sends a request with the shared prompt to a node and returns its run.
func streamRun(s *Site, n *Node) Run {
	s.T.Helper()
	a := n.Do(Request{Path: StreamPath, Body: "x"})
	if a.Status != http.StatusOK || a.Err != nil {
		s.T.Fatalf("status %d, error %v", a.Status, a.Err)
	}
	return s.Journal.Runs(a.ID)[0]
}

// awaitCached waits until the node counts the prompt's parts as cached on the engine.
func awaitCached(s *Site, n *Node, e *Engine) {
	s.T.Helper()
	s.Eventually("the node counts the parts as cached", func() bool {
		_ = streamRun(s, n)
		return strings.Contains(lastAnswered(n), `"target":"`+e.ID+`"`) && strings.Contains(lastAnswered(n), `"kept":900`)
	})
}

// lastAnswered returns the last log line of a node for an answered request.
func lastAnswered(n *Node) string {
	logs := n.Logs.String()
	at := strings.LastIndex(logs, `"msg":"answered"`)
	if at < 0 {
		return ""
	}
	line, _, _ := strings.Cut(logs[at:], "\n")
	return line
}

// awaitMarker waits until a node has all that was written to the store before the marker.
func awaitMarker(s *Site, n *Node, marker string) {
	s.T.Helper()
	s.Eventually("the node has "+marker, func() bool { return strings.Contains(n.Logs.String(), marker) })
}

// mark writes the entry of a draining engine as a marker: a node that logs it has all that was
// written before.
func mark(s *Site, id string) {
	s.Store.Put("servers/"+id, s.Plain[0].Entry("draining"))
}

// cachedNothing reports whether the node expected no cached parts on the target of its last
// answered request, and fetched none from e.
func cachedNothing(n *Node, e *Engine) bool {
	line := lastAnswered(n)
	return strings.Contains(line, `"kept":0`) && !strings.Contains(line, `"fetch_from":"`+e.ID+`"`)
}

// An engine that restarts with its ID has lost its cached parts; every node accounts for that,
// whatever address the engine comes back at.
func TestRestartedEngineHasNothingCached(t *testing.T) {
	for _, tt := range []struct {
		name    string
		restart func(s *Site, e *Engine)
	}{
		{"same address", func(s *Site, e *Engine) {
			e.Restart()
			s.Store.Put("servers/"+e.ID, e.Entry("ready"))
		}},
		{"another address", func(s *Site, e *Engine) {
			e.Move()
			s.Store.Put("servers/"+e.ID, e.Entry("ready"))
		}},
		{"twice", func(s *Site, e *Engine) {
			e.Restart()
			s.Store.Put("servers/"+e.ID, e.Entry("ready"))
			e.Restart()
			s.Store.Put("servers/"+e.ID, e.Entry("ready"))
		}},
		{"during a store outage", func(s *Site, e *Engine) {
			s.Store.SetMode(Silent)
			e.Restart()
			s.Store.SetMode(Serving)
			s.Store.Put("servers/"+e.ID, e.Entry("ready"))
		}},
		{"while a node has no store", func(s *Site, e *Engine) {
			s.Store.SetModeFor("127.0.0.2", Silent)
			e.Restart()
			s.Store.Put("servers/"+e.ID, e.Entry("ready"))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is, s := is.New(t), start(t, 2)
			e := holderOf(s, s.Nodes[0])
			for _, n := range s.Nodes {
				awaitCached(s, n, e)
			}
			tt.restart(s, e)
			mark(s, "i-marker")
			for _, n := range s.Nodes {
				awaitMarker(s, n, "i-marker")
			}
			_ = streamRun(s, s.Nodes[0])
			is.True(cachedNothing(s.Nodes[0], e))
			awaitCached(s, s.Nodes[1], holderOf(s, s.Nodes[0])) // parts read since the restart count
		})
	}
}

// Parts are fetched from a draining engine, but not if it has restarted since it cached them.
func TestNothingIsFetchedFromARunThatIsOver(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	e := holderOf(s, s.Nodes[0])
	awaitCached(s, s.Nodes[0], e)
	e.Restart()
	s.Store.Put("servers/"+e.ID, e.Entry("draining"))
	mark(s, "i-marker")
	awaitMarker(s, s.Nodes[0], "i-marker")
	run := streamRun(s, s.Nodes[0])
	is.True(run.Engine != e.ID)
	is.Equal(run.Header.Get("Kv-Fetch"), "")
}

// The nodes' snapshot of an engine's cached parts does not apply to the engine's next process.
func TestSnapshotDoesNotApplyToARestartedEngine(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	e := holderOf(s, s.Nodes[0])
	s.Eventually("the nodes' snapshot is in the store", func() bool {
		_ = streamRun(s, s.Nodes[0])
		return s.Store.Has("knapweedgw/note")
	})
	s.StopAll()
	e.Restart()
	s.Store.Put("servers/"+e.ID, e.Entry("ready"))
	s.Start(1)
	_ = streamRun(s, s.Nodes[0])
	is.True(cachedNothing(s.Nodes[0], e))
}

// A late entry of an engine's previous process does not replace the entry of its new one.
func TestEntryOfAnEarlierStartIsIgnored(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	e := s.Plain[0]
	old := e.Entry("draining")
	e.Move()
	s.Store.Put("servers/"+e.ID, e.Entry("ready"))
	s.Store.Put("servers/"+e.ID, old)
	s.Store.Remove("servers/" + s.Plain[1].ID)
	s.Store.Remove("servers/" + s.Plain[2].ID)
	awaitMarker(s, s.Nodes[0], `"target":"`+s.Plain[2].ID+`","service":"plain-pool","addr":"`+s.Plain[2].Addr()+`","change":"gone"`)
	a := s.Nodes[0].Do(Request{Path: SafePath})
	is.Equal(a.Status, http.StatusOK)
	is.Equal(s.Journal.Runs(a.ID)[0].Born, e.Born())
}

// The address of an engine is reused by an engine of another service while its ID comes back
// at another address.
func TestAddressAndIDMoveToDifferentEngines(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	e := holderOf(s, s.Nodes[0])
	awaitCached(s, s.Nodes[0], e)
	address := e.Addr()
	e.Move()
	successor := NewEngineAt(t, address, "i-heir", ServicePool, "zone-0", s.Journal)
	s.Store.Put("servers/i-heir", successor.Entry("ready"))
	s.Store.Put("servers/"+e.ID, e.Entry("ready"))
	mark(s, "i-marker")
	awaitMarker(s, s.Nodes[0], "i-marker")
	run := streamRun(s, s.Nodes[0])
	is.Equal(run.Header.Get("Kv-Fetch"), "")
	is.True(cachedNothing(s.Nodes[0], e))
	is.Equal(s.Journal.Rejected(), 0)
}

// Requests that run on an engine while it restarts follow the usual rules: a stream that may
// be resumed is resumed on another engine, each event once; a request that must not be
// repeated has an unknown outcome and runs on no other engine.
func TestRequestsDuringEngineRestart(t *testing.T) {
	for _, tt := range []struct {
		path   string
		status int
		runs   int
	}{
		{ResumePath, http.StatusOK, 2},
		{UnsafePath, http.StatusBadGateway, 1},
	} {
		t.Run(tt.path, func(t *testing.T) {
			is, s := is.New(t), start(t, 1)
			s.AwaitRetrySlack()
			for _, e := range s.Engines() {
				e.Events, e.Pace = 20, 20*time.Millisecond
			}
			for _, e := range s.Plain {
				e.SetFault(Hang, 1)
			}
			id, answers := NewID(), make(chan Answer, 1)
			go func() { answers <- s.Nodes[0].Do(Request{Path: tt.path, Body: "x", ID: id}) }()
			s.Eventually("the request runs", func() bool { return len(s.Journal.Runs(id)) == 1 })
			for _, e := range s.Engines() {
				if e.ID == s.Journal.Runs(id)[0].Engine {
					e.Restart()
					s.Store.Put("servers/"+e.ID, e.Entry("ready"))
				}
			}
			a := <-answers
			is.Equal(a.Status, tt.status)
			is.NoErr(a.Err)
			if tt.path == ResumePath {
				is.Equal(a.Body, WholeStream(id, 20))
			}
			is.Equal(len(s.Journal.Runs(id)), tt.runs)
		})
	}
}
