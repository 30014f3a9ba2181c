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

// manyRequests are enough for each target of a service to get some, if it gets any.
const manyRequests = 40

// reach sends requests to the first node until one has reached the engine.
func reach(s *Site, e *Engine, path string) {
	before := s.Journal.ArrivalsAt(e.ID)
	s.Eventually("a request reaches "+e.ID, func() bool {
		s.Nodes[0].Do(Request{Path: path, Body: "x"})
		return s.Journal.ArrivalsAt(e.ID) > before
	})
}

// getsNothing checks that none of many requests reaches the engine.
func getsNothing(t *testing.T, s *Site, e *Engine, path string) {
	t.Helper()
	before := s.Journal.ArrivalsAt(e.ID)
	for range manyRequests {
		s.Nodes[0].Do(Request{Path: path, Body: "x"})
	}
	if n := s.Journal.ArrivalsAt(e.ID) - before; n > 0 {
		t.Errorf("%d of %d requests reached %s", n, manyRequests, e.ID)
	}
}

// engines returns those that run a path.
func engines(s *Site, path string) []*Engine {
	if path == StreamPath || path == ResumePath {
		return s.Model
	}
	return s.Plain
}

// detour is how a request comes to the first engine after another one.
type detour struct {
	path string
	// others are the faults of the other two.
	others [2]Fault
}

var detours = map[string]detour{
	"as a retry":               {SafePath, [2]Fault{Fail, Refuse}},
	"as a stream that goes on": {ResumePath, [2]Fault{Cut, Cut}},
}

// getsNothing checks that no request comes to the first engine so.
func (d detour) getsNothing(t *testing.T, s *Site) {
	t.Helper()
	all := engines(s, d.path)
	for i, fault := range d.others {
		all[i+1].SetFault(fault, -1)
	}
	getsNothing(t, s, all[0], d.path)
}

// Guards against: requests went on to a target that had said in its answers that it
// leaves, while its entry in the store still said that it is ready.
func TestTargetThatSaysItLeavesGetsNothingNew(t *testing.T) {
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
			e := engines(s, tt.path)[0]
			e.SayLeaving()
			e.SetFault(tt.fault, 1)
			reach(s, e, tt.path)
			getsNothing(t, s, e, tt.path)
		})
	}
	for name, d := range detours {
		t.Run(name, func(t *testing.T) {
			s := start(t, 1)
			engines(s, d.path)[0].SayLeaving()
			reach(s, engines(s, d.path)[0], d.path)
			d.getsNothing(t, s)
		})
	}
	t.Run("after its entry has lapsed and come back", func(t *testing.T) {
		is, s := is.New(t), start(t, 1)
		e, logs := s.Plain[0], s.Nodes[0].Logs
		e.SayLeaving()
		reach(s, e, SafePath)
		s.Store.Remove("servers/" + e.ID)
		s.Eventually("it is gone", func() bool { return strings.Contains(logs.String(), `"change":"gone"`) })
		s.Store.Put("servers/"+e.ID, e.Entry("ready"))
		s.Eventually("it is back", func() bool { return strings.Count(logs.String(), `"change":"joined"`) > len(s.Engines()) })
		getsNothing(t, s, e, SafePath)
		e.Restart()
		s.Store.Put("servers/"+e.ID, e.Entry("ready"))
		reach(s, e, SafePath) // a later run
		is.True(!t.Failed())
	})
	t.Run("if all leave", func(t *testing.T) {
		is, s := is.New(t), start(t, 1)
		for _, e := range s.Plain {
			e.SayLeaving()
		}
		for _, e := range s.Plain {
			e.SetFault(Refuse, 1)
		}
		s.Eventually("all have said so", func() bool {
			s.Nodes[0].Do(Request{Path: SafePath})
			return strings.Count(s.Nodes[0].Logs.String(), "says that it leaves") == len(s.Plain)
		})
		arrived := len(s.Journal.Arrivals())
		a := s.Nodes[0].Do(Request{Path: SafePath})
		is.Equal(a.Status, http.StatusServiceUnavailable)
		is.True(a.Header.Get("Retry-After") != "")
		is.True(strings.Contains(a.Body, `"ran":"no"`))
		is.Equal(len(s.Journal.Arrivals()), arrived)
	})
}

// A word that may be another process's takes no target away.
func TestWordsOfOthersTakeNoTargetAway(t *testing.T) {
	for name, fault := range map[string]Fault{"to another request": WrongID, "unsigned": Unsigned} {
		t.Run(name, func(t *testing.T) {
			s := start(t, 1)
			e := s.Plain[0]
			e.SayLeaving()
			e.SetFault(fault, -1)
			reach(s, e, UnsafePath)
			reach(s, e, UnsafePath)
		})
	}
}

// Guards against: a target that had turned a node away with 503 and asked it for rest got
// further requests from that node within that time.
func TestTargetThatAsksForRestGetsNothingMeanwhile(t *testing.T) {
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
			e := engines(s, tt.path)[0]
			asksForRest(s, e, tt.path, tt.fault, long)
			getsNothing(t, s, e, tt.path)
		})
	}
	for name, d := range detours {
		t.Run(name, func(t *testing.T) {
			s := start(t, 1)
			asksForRest(s, engines(s, d.path)[0], d.path, Refuse, long)
			d.getsNothing(t, s)
		})
	}
	t.Run("while most rest", func(t *testing.T) {
		s := start(t, 1)
		asksForRest(s, s.Plain[0], SafePath, Refuse, long)
		asksForRest(s, s.Plain[1], SafePath, Refuse, long)
		getsNothing(t, s, s.Plain[0], SafePath)
		getsNothing(t, s, s.Plain[1], SafePath)
	})
	t.Run("if all rest", func(t *testing.T) {
		is, s := is.New(t), start(t, 1)
		asksForRest(s, s.Plain[0], SafePath, Refuse, long)
		asksForRest(s, s.Plain[1], SafePath, Refuse, 2*long)
		asksForRest(s, s.Plain[2], SafePath, Refuse, 2*long)
		arrived := len(s.Journal.Arrivals())
		a := s.Nodes[0].Do(Request{Path: SafePath})
		is.Equal(a.Status, http.StatusServiceUnavailable)
		is.True(strings.Contains(a.Body, `"ran":"no"`))
		after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after > long.Seconds()/2) // of the first whose rest ends
		is.True(after < 1.5*long.Seconds())
		is.Equal(len(s.Journal.Arrivals()), arrived)
	})
}

// asksForRest has an engine turn a request away and ask for rest.
func asksForRest(s *Site, e *Engine, path string, f Fault, rest time.Duration) {
	e.AskForRest(rest)
	e.SetFault(f, 1)
	reach(s, e, path)
}

// Rest ends with its time, and with the run that asked for it.
func TestTargetIsUsedAgainAfterItsRest(t *testing.T) {
	s := start(t, 1)
	e := s.Plain[0]
	asksForRest(s, e, SafePath, Refuse, 300*time.Millisecond)
	reach(s, e, SafePath)
	asksForRest(s, e, SafePath, Refuse, time.Hour)
	e.Restart()
	s.Store.Put("servers/"+e.ID, e.Entry("ready"))
	reach(s, e, SafePath)
}
