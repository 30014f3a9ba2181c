package standin_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// Guards against ignored evacuations: operators evacuated a failure domain before work on its
// power supply, and it still got requests since no node read the store's key for it. Each way
// to a target is tested: the first choice, a retry, a stream resumed on another engine, and
// the fallbacks when no usable target is left.

const evacuateZone0 = "op/evacuate/zone-0"

// zoneOf returns the failure domain of the engine that ran a request first.
func zoneOf(s *Site, id string) string {
	ran := s.Journal.Runs(id)[0].Engine
	for _, e := range s.Engines() {
		if e.ID == ran {
			return e.Zone
		}
	}
	return ""
}

// evacuate starts an evacuation and waits until all nodes have read it.
func evacuate(s *Site, key string) {
	s.Store.Put(key, map[string]any{})
	s.Eventually("the nodes have the evacuation", func() bool { return allLogged(s, "failure domain evacuated") })
}

// allLogged reports whether the logs of all nodes contain text.
func allLogged(s *Site, text string) bool {
	for _, n := range s.Nodes {
		if !strings.Contains(n.Logs.String(), text) {
			return false
		}
	}
	return true
}

func TestEvacuatedDomainGetsNoNewRequests(t *testing.T) {
	is, s := is.New(t), start(t, 3)
	evacuate(s, evacuateZone0)
	for range 30 {
		for _, n := range s.Nodes {
			a := n.Do(Request{Path: SafePath})
			is.Equal(a.Status, http.StatusOK)
			is.True(zoneOf(s, a.ID) != "zone-0")
		}
	}
	s.Store.Remove(evacuateZone0)
	s.Eventually("the domain is used again", func() bool {
		return zoneOf(s, s.Nodes[0].Do(Request{Path: SafePath}).ID) == "zone-0"
	})
}

func TestRetryAvoidsAnEvacuatedDomain(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	s.AwaitRetrySlack()
	evacuate(s, evacuateZone0)
	s.Plain[1].SetFault(Fail, -1)
	s.Plain[2].SetFault(Fail, -1)
	a := s.Nodes[0].Do(Request{Path: SafePath})
	is.Equal(a.Status, http.StatusInternalServerError) // the failure of the two remaining engines
	is.Equal(len(s.Journal.Runs(a.ID)), 2)
	for _, r := range s.Journal.Runs(a.ID) {
		is.True(r.Engine != s.Plain[0].ID)
	}
}

func TestStreamResumesOutsideAnEvacuatedDomain(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	evacuate(s, evacuateZone0)
	s.Model[1].SetFault(Cut, 1)
	s.Model[2].SetFault(Cut, 1)
	a := s.Nodes[0].Do(Request{Path: ResumePath, Header: http.Header{"Model": {"m"}}})
	for _, r := range s.Journal.Runs(a.ID) {
		is.True(r.Engine != s.Model[0].ID)
	}
}

// No fallback uses an evacuated domain: suspended, unreachable and vanished targets elsewhere
// are tried first, and if there are none the request is refused.
func TestNoTargetOutsideEvacuatedDomainIsRefused(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	evacuate(s, evacuateZone0)
	s.Plain[1].Crash()
	s.Store.Put("servers/"+s.Plain[2].ID, s.Plain[2].Entry("draining"))
	s.Eventually("the node has the draining entry", func() bool {
		return strings.Contains(s.Nodes[0].Logs.String(), `"change":"drains"`)
	})
	for range 5 {
		is.True(s.Nodes[0].Do(Request{Path: SafePath}).Status != http.StatusOK)
	}
	s.Store.Remove("servers/" + s.Plain[1].ID)
	s.Store.Remove("servers/" + s.Plain[2].ID)
	s.Eventually("the node has dropped the targets", func() bool {
		return strings.Count(s.Nodes[0].Logs.String(), `"change":"gone"`) == 2
	})
	began := time.Now()
	a := s.Nodes[0].Do(Request{Path: SafePath})
	is.Equal(a.Status, http.StatusServiceUnavailable)
	is.True(a.Header.Get("Retry-After") != "")
	is.True(time.Since(began) < time.Second)
	is.True(strings.Contains(s.Nodes[0].Logs.String(), "evacuated failure domains"))
	for _, id := range s.Journal.IDs() {
		for _, r := range s.Journal.Runs(id) {
			is.True(r.Engine != s.Plain[0].ID)
		}
	}
}

// A node applies an evacuation that it can't read from the store itself, or that began before
// the node started.
func TestEvacuationReachesNodesDespiteStoreFaults(t *testing.T) {
	tests := map[string]func(s *Site){
		"node without store": func(s *Site) { s.Store.SetModeFor("127.0.0.2", Silent) },
		"compacted":          func(s *Site) { s.Store.Compact() },
		"stalled watches":    func(s *Site) { s.Store.SetDeaf(true) },
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, 3)
			injectFault(s)
			evacuate(s, evacuateZone0)
			s.Store.Remove(evacuateZone0)
			s.Eventually("the nodes have its end", func() bool { return allLogged(s, "failure domain taken back") })
		})
	}
	t.Run("at the start", func(t *testing.T) {
		s := NewSite(t)
		s.Store.Put(evacuateZone0, map[string]any{})
		s.Start(1)
		is := is.New(t)
		for range 20 {
			is.True(zoneOf(s, s.Nodes[0].Do(Request{Path: SafePath}).ID) != "zone-0")
		}
	})
}

// A key that names an unknown domain, or whose value can't be decoded, has no effect on other
// evacuations or on requests.
func TestUnusableEvacuationIsIgnored(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	s.Store.Put("op/evacuate/nowhere", []byte{0xff})
	s.Store.Put("op/evacuate/", map[string]any{})
	evacuate(s, "op/evacuate/zone-1")
	for range 20 {
		a := s.Nodes[0].Do(Request{Path: SafePath})
		is.Equal(a.Status, http.StatusOK)
		is.True(zoneOf(s, a.ID) != "zone-1")
	}
	is.Equal(strings.Count(s.Nodes[0].Logs.String(), "value in the store is unusable"), 1)
}
