package standin_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// home returns the engine that runs the stream of the shared prompt.
func home(s *Site, n *Node) *Engine {
	run := streamRun(s, n)
	for _, e := range s.Model {
		if e.ID == run.Engine {
			return e
		}
	}
	s.T.Fatalf("no engine %s", run.Engine)
	return nil
}

// streamRun has the shared prompt run through a node.
func streamRun(s *Site, n *Node) Run {
	s.T.Helper()
	a := n.Do(Request{Path: StreamPath, Body: "x"})
	if a.Status != http.StatusOK || a.Err != nil {
		s.T.Fatalf("status %d, error %v", a.Status, a.Err)
	}
	return s.Journal.Runs(a.ID)[0]
}

// settle waits until the engine has surely read the prompt, as the node sees it.
func settle(s *Site, n *Node, e *Engine) {
	s.T.Helper()
	s.Eventually("the parts are known to be kept", func() bool {
		_ = streamRun(s, n)
		return strings.Contains(lastAnswered(n), `"target":"`+e.ID+`"`) && strings.Contains(lastAnswered(n), `"kept":900`)
	})
}

// lastAnswered is the newest line on an answered request of a node's log.
func lastAnswered(n *Node) string {
	logs := n.Logs.String()
	at := strings.LastIndex(logs, `"msg":"answered"`)
	if at < 0 {
		return ""
	}
	line, _, _ := strings.Cut(logs[at:], "\n")
	return line
}

// awaitMarker waits until a node knows what was written to the store by now.
func awaitMarker(s *Site, n *Node, marker string) {
	s.T.Helper()
	s.Eventually("the node knows "+marker, func() bool { return strings.Contains(n.Logs.String(), marker) })
}

// mark writes an entry of an engine that leaves, by which a node shows that it
// knows all that was written before.
func mark(s *Site, id string) {
	s.Store.Put("servers/"+id, s.Plain[0].Entry("draining"))
}

// keptNothing says whether the node took the target of its newest request for one
// that keeps nothing, and fetched nothing from it.
func keptNothing(n *Node, e *Engine) bool {
	line := lastAnswered(n)
	return strings.Contains(line, `"kept":0`) && !strings.Contains(line, `"fetch_from":"`+e.ID+`"`)
}

// An engine that starts again under its ID keeps nothing of before, on every node,
// however it comes back.
func TestRestartedEngineKeepsNothing(t *testing.T) {
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
		{"behind a cut", func(s *Site, e *Engine) {
			s.Store.SetMode(Silent)
			e.Restart()
			s.Store.SetMode(Serving)
			s.Store.Put("servers/"+e.ID, e.Entry("ready"))
		}},
		{"while a node is turned away", func(s *Site, e *Engine) {
			s.Store.TurnAway("127.0.0.2", Silent)
			e.Restart()
			s.Store.Put("servers/"+e.ID, e.Entry("ready"))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is, s := is.New(t), start(t, 2)
			e := home(s, s.Nodes[0])
			for _, n := range s.Nodes {
				settle(s, n, e)
			}
			tt.restart(s, e)
			mark(s, "i-marker")
			for _, n := range s.Nodes {
				awaitMarker(s, n, "i-marker")
			}
			_ = streamRun(s, s.Nodes[0])
			is.True(keptNothing(s.Nodes[0], e))
			settle(s, s.Nodes[1], home(s, s.Nodes[0])) // what is read anew counts
		})
	}
}

// Parts are fetched from a leaving engine, but not from the run that is over.
func TestNothingIsFetchedFromARunThatIsOver(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	e := home(s, s.Nodes[0])
	settle(s, s.Nodes[0], e)
	e.Restart()
	s.Store.Put("servers/"+e.ID, e.Entry("draining"))
	mark(s, "i-marker")
	awaitMarker(s, s.Nodes[0], "i-marker")
	run := streamRun(s, s.Nodes[0])
	is.True(run.Engine != e.ID)
	is.Equal(run.Header.Get("Kv-Fetch"), "")
}

// A note of the parts that an engine kept says nothing of its next start.
func TestNoteSaysNothingOfTheNextStart(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	e := home(s, s.Nodes[0])
	s.Eventually("the parts are noted", func() bool {
		_ = streamRun(s, s.Nodes[0])
		return s.Store.Has("knapweedgw/note")
	})
	s.StopAll()
	e.Restart()
	s.Store.Put("servers/"+e.ID, e.Entry("ready"))
	s.Start(1)
	_ = streamRun(s, s.Nodes[0])
	is.True(keptNothing(s.Nodes[0], e))
}

// An engine's late word of its old start takes nothing from the new one.
func TestOldStartIsIgnored(t *testing.T) {
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

// The address of an engine goes to another service's while its ID comes back
// elsewhere.
func TestAddressAndIDPartWays(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	e := home(s, s.Nodes[0])
	settle(s, s.Nodes[0], e)
	address := e.Addr()
	e.Move()
	heir := NewEngineAt(t, address, "i-heir", ServicePool, "zone-0", s.Journal)
	s.Store.Put("servers/i-heir", heir.Entry("ready"))
	s.Store.Put("servers/"+e.ID, e.Entry("ready"))
	mark(s, "i-marker")
	awaitMarker(s, s.Nodes[0], "i-marker")
	run := streamRun(s, s.Nodes[0])
	is.Equal(run.Header.Get("Kv-Fetch"), "")
	is.True(keptNothing(s.Nodes[0], e))
	is.Equal(s.Journal.Turned(), 0)
}

// What runs on an engine that starts again follows the usual rules: a stream that
// may be resumed goes on elsewhere, each event once; the fate of a request that may
// not be repeated stays unknown, and it runs nowhere else.
func TestRequestsOfARunThatIsOver(t *testing.T) {
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
