package standin_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// manyRequests is enough for each usable target of a service to get some requests.
const manyRequests = 40

// sendUntilReached sends requests to the first node until one has reached the engine.
func sendUntilReached(s *Site, e *Engine, path string) {
	before := s.Journal.ArrivalsAt(e.ID)
	s.Eventually("a request reaches "+e.ID, func() bool {
		s.Nodes[0].Do(Request{Path: path, Body: "x"})
		return s.Journal.ArrivalsAt(e.ID) > before
	})
}

// checkGetsNothing checks that none of many requests reaches the engine.
func checkGetsNothing(t *testing.T, s *Site, e *Engine, path string) {
	t.Helper()
	before := s.Journal.ArrivalsAt(e.ID)
	for range manyRequests {
		s.Nodes[0].Do(Request{Path: path, Body: "x"})
	}
	if n := s.Journal.ArrivalsAt(e.ID) - before; n > 0 {
		t.Errorf("%d of %d requests reached %s", n, manyRequests, e.ID)
	}
}

// enginesFor returns the engines that serve a path.
func enginesFor(s *Site, path string) []*Engine {
	if path == StreamPath || path == ResumePath {
		return s.Model
	}
	return s.Plain
}

// failover is a way for a request to reach the first engine after another one.
type failover struct {
	path string
	// others are the faults of the other two engines.
	others [2]Fault
}

var failovers = map[string]failover{
	"as a retry":          {SafePath, [2]Fault{Fail, Refuse}},
	"as a resumed stream": {ResumePath, [2]Fault{Cut, Cut}},
}

// checkGetsNothing checks that no request reaches the first engine by the failover.
func (d failover) checkGetsNothing(t *testing.T, s *Site) {
	t.Helper()
	all := enginesFor(s, d.path)
	for i, fault := range d.others {
		all[i+1].SetFault(fault, -1)
	}
	checkGetsNothing(t, s, all[0], d.path)
}

// Guards against further requests to a target that sends the Server-Leaving header in its
// answers while its entry in the store still has the state ready.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	answers := map[string]struct {
		path  string
		fault Fault
	}{
		"whole":              {SafePath, None},
		"a stream's header":  {StreamPath, None},
		"a broken stream":    {StreamPath, Cut},
		"a failure":          {UnsafePath, Fail},
		"a large failure":    {SafePath, FailLarge},
		"a refusal":          {SafePath, Refuse},
		"a refusal unsigned": {UnsafePath, FakeRefuse},
	}
	for name, tt := range answers {
		t.Run(name, func(t *testing.T) {
			s := start(t, 1)
			s.Store.SetMode(Silent)
			e := enginesFor(s, tt.path)[0]
			e.SayLeaving()
			e.SetFault(tt.fault, 1)
			sendUntilReached(s, e, tt.path)
			checkGetsNothing(t, s, e, tt.path)
		})
	}
	for name, d := range failovers {
		t.Run(name, func(t *testing.T) {
			s := start(t, 1)
			enginesFor(s, d.path)[0].SayLeaving()
			sendUntilReached(s, enginesFor(s, d.path)[0], d.path)
			d.checkGetsNothing(t, s)
		})
	}
	t.Run("after its entry has lapsed and come back", func(t *testing.T) {
		is, s := is.New(t), start(t, 1)
		e, logs := s.Plain[0], s.Nodes[0].Logs
		e.SayLeaving()
		sendUntilReached(s, e, SafePath)
		s.Store.Remove("servers/" + e.ID)
		s.Eventually("the target is gone", func() bool { return strings.Contains(logs.String(), `"change":"gone"`) })
		s.Store.Put("servers/"+e.ID, e.Entry("ready"))
		s.Eventually("the target is back", func() bool { return strings.Count(logs.String(), `"change":"joined"`) > len(s.Engines()) })
		checkGetsNothing(t, s, e, SafePath)
		e.Restart()
		s.Store.Put("servers/"+e.ID, e.Entry("ready"))
		sendUntilReached(s, e, SafePath) // a new process of the target
		is.True(!t.Failed())
	})
	t.Run("if all are leaving", func(t *testing.T) {
		is, s := is.New(t), start(t, 1)
		for _, e := range s.Plain {
			e.SayLeaving()
		}
		for _, e := range s.Plain {
			e.SetFault(Refuse, 1)
		}
		s.Eventually("all have announced it", func() bool {
			s.Nodes[0].Do(Request{Path: SafePath})
			return strings.Count(s.Nodes[0].Logs.String(), "target announced its shutdown") == len(s.Plain)
		})
		arrived := len(s.Journal.Arrivals())
		a := s.Nodes[0].Do(Request{Path: SafePath})
		is.Equal(a.Status, http.StatusServiceUnavailable)
		is.True(a.Header.Get("Retry-After") != "")
		is.True(strings.Contains(a.Body, `"ran":"no"`))
		is.Equal(len(s.Journal.Arrivals()), arrived)
	})
}

// The Server-Leaving header of an answer that may be another process's is ignored.
func TestUnverifiedLeavingHeaderIsIgnored(t *testing.T) {
	for name, fault := range map[string]Fault{"to another request": WrongID, "unsigned": Unsigned} {
		t.Run(name, func(t *testing.T) {
			s := start(t, 1)
			e := s.Plain[0]
			e.SayLeaving()
			e.SetFault(fault, -1)
			sendUntilReached(s, e, UnsafePath)
			sendUntilReached(s, e, UnsafePath)
		})
	}
}

// Guards against further requests from a node to a target that answered it 503 with a
// Retry-After, before that time is over.
func TestTargetGetsNoRequestsDuringRetryAfter(t *testing.T) {
	const long = time.Minute
	answers := map[string]struct {
		path  string
		fault Fault
	}{
		"a refusal":             {SafePath, Refuse},
		"a refusal unsigned":    {UnsafePath, FakeRefuse},
		"a refusal of a stream": {StreamPath, Refuse},
	}
	for name, tt := range answers {
		t.Run(name, func(t *testing.T) {
			s := start(t, 1)
			e := enginesFor(s, tt.path)[0]
			refuseWithRetryAfter(s, e, tt.path, tt.fault, long)
			checkGetsNothing(t, s, e, tt.path)
		})
	}
	for name, d := range failovers {
		t.Run(name, func(t *testing.T) {
			s := start(t, 1)
			refuseWithRetryAfter(s, enginesFor(s, d.path)[0], d.path, Refuse, long)
			d.checkGetsNothing(t, s)
		})
	}
	t.Run("while most are in cooldown", func(t *testing.T) {
		s := start(t, 1)
		refuseWithRetryAfter(s, s.Plain[0], SafePath, Refuse, long)
		refuseWithRetryAfter(s, s.Plain[1], SafePath, Refuse, long)
		checkGetsNothing(t, s, s.Plain[0], SafePath)
		checkGetsNothing(t, s, s.Plain[1], SafePath)
	})
	t.Run("if all are in cooldown", func(t *testing.T) {
		is, s := is.New(t), start(t, 1)
		refuseWithRetryAfter(s, s.Plain[0], SafePath, Refuse, long)
		refuseWithRetryAfter(s, s.Plain[1], SafePath, Refuse, 2*long)
		refuseWithRetryAfter(s, s.Plain[2], SafePath, Refuse, 2*long)
		arrived := len(s.Journal.Arrivals())
		a := s.Nodes[0].Do(Request{Path: SafePath})
		is.Equal(a.Status, http.StatusServiceUnavailable)
		is.True(strings.Contains(a.Body, `"ran":"no"`))
		after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after > long.Seconds()/2) // the Retry-After that ends first
		is.True(after < 1.5*long.Seconds())
		is.Equal(len(s.Journal.Arrivals()), arrived)
	})
}

// refuseWithRetryAfter lets an engine refuse a request with a Retry-After.
func refuseWithRetryAfter(s *Site, e *Engine, path string, f Fault, retryAfter time.Duration) {
	e.AskForRest(retryAfter)
	e.SetFault(f, 1)
	sendUntilReached(s, e, path)
}

// The cooldown of a target ends after its Retry-After, and with the process that sent it.
func TestTargetIsUsedAgainAfterRetryAfter(t *testing.T) {
	s := start(t, 1)
	e := s.Plain[0]
	refuseWithRetryAfter(s, e, SafePath, Refuse, 300*time.Millisecond)
	sendUntilReached(s, e, SafePath)
	refuseWithRetryAfter(s, e, SafePath, Refuse, time.Hour)
	e.Restart()
	s.Store.Put("servers/"+e.ID, e.Entry("ready"))
	sendUntilReached(s, e, SafePath)
}
