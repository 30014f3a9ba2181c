package standin_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// unusableEntries returns unusable entries, written by other writers under the prefix of the
// engines' entries.
func unusableEntries(e *Engine) map[string]any {
	changed := func(field string, value any) map[string]any {
		entry := e.Entry("ready")
		entry[field] = value
		return entry
	}
	return map[string]any{
		"servers/": e.Entry("ready"), "servers/a/b": e.Entry("ready"),
		"servers/i-stray-empty":   []byte{},
		"servers/i-stray-bytes":   []byte("\xff\x00{"),
		"servers/i-stray-large":   bytes.Repeat([]byte("x"), 1<<20),
		"servers/i-stray-null":    json.RawMessage("null"),
		"servers/i-stray-list":    []any{e.Entry("ready")},
		"servers/i-stray-slots":   changed("slots", "8"),
		"servers/i-stray-huge":    changed("slots", 1e30),
		"servers/i-stray-born":    changed("born", "now"),
		"servers/i-stray-state":   changed("state", "new"),
		"servers/i-stray-address": changed("address", "nowhere"),
		"servers/i-stray-service": changed("service", "nobody's"),
		"servers/i-stray-zone":    changed("zone", nil),
	}
}

// Unusable entries add no target and affect no other entry: on a node that reads the full
// list, one that watches, and one that copies from another node.
func TestUnusableEntriesAreIgnored(t *testing.T) {
	for _, when := range []string{"before the nodes", "after the nodes", "while a node has no store"} {
		t.Run(when, func(t *testing.T) {
			is, s := is.New(t), NewSite(t)
			if when != "before the nodes" {
				s.Start(2)
			}
			if when == "while a node has no store" {
				s.Store.SetModeFor("127.0.0.2", Silent)
			}
			for key, value := range unusableEntries(s.Plain[0]) {
				s.Store.Put(key, value)
			}
			s.Store.Remove("servers/" + s.Plain[0].ID)
			s.Store.Put("servers/"+s.Plain[1].ID, []byte("{}")) // replaces a valid entry
			mark(s, "i-marker")
			if when == "before the nodes" {
				s.Start(2)
			}
			for _, n := range s.Nodes {
				awaitMarker(s, n, "i-marker")
				s.Eventually("the removed engine is gone", func() bool {
					return !strings.Contains(n.Logs.String(), s.Plain[0].Addr()+`","change":"lapses"`) ||
						strings.Contains(n.Logs.String(), s.Plain[0].Addr()+`","change":"gone"`)
				})
				for range 20 {
					a := n.Do(Request{Path: SafePath})
					is.Equal(a.Status, http.StatusOK)
					is.Equal(s.Journal.Runs(a.ID)[0].Engine, s.Plain[2].ID)
				}
				is.Equal(n.Do(Request{Path: StreamPath, Body: "x"}).Status, http.StatusOK)
			}
			is.Equal(s.Journal.Rejected(), 0)
		})
	}
}

// A stream in progress on an engine whose entry is overwritten ends normally, and the engine
// gets requests again with its next valid entry.
func TestOverwrittenEntry(t *testing.T) {
	is, s := is.New(t), start(t, 1)
	for _, e := range s.Model {
		e.Events, e.Pace = 40, 20*time.Millisecond
	}
	id, answers := NewID(), make(chan Answer, 1)
	go func() { answers <- s.Nodes[0].Do(Request{Path: StreamPath, Body: "x", ID: id}) }()
	s.Eventually("the stream runs", func() bool { return len(s.Journal.Runs(id)) == 1 })
	for _, e := range s.Model {
		s.Store.Put("servers/"+e.ID, []byte("{}"))
	}
	s.Eventually("all are withdrawn", func() bool {
		return strings.Count(s.Nodes[0].Logs.String(), `"change":"withdrawn"`) == len(s.Model)
	})
	is.Equal(s.Nodes[0].Do(Request{Path: StreamPath, Body: "x"}).Status, http.StatusServiceUnavailable)
	a := <-answers
	is.NoErr(a.Err)
	is.Equal(a.Body, WholeStream(id, 40))
	e := s.Model[1]
	e.Pace = 0
	s.Store.Put("servers/"+e.ID, e.Entry("ready"))
	s.Eventually("the engine gets requests again", func() bool {
		return s.Nodes[0].Do(Request{Path: StreamPath, Body: "x"}).Status == http.StatusOK
	})
}

// Changes that are too large for one watch answer are read by a range request.
func TestManyLargeEntries(t *testing.T) {
	s := start(t, 1)
	for i := range 12 {
		s.Store.Put(fmt.Sprint("servers/i-large-", i), bytes.Repeat([]byte("x"), 1<<20))
	}
	s.Store.Put("servers/"+s.Plain[0].ID, s.Plain[0].Entry("draining"))
	s.Eventually("the node has the later change", func() bool {
		return strings.Contains(s.Nodes[0].Logs.String(), s.Plain[0].Addr()+`","change":"drains"`)
	})
}
