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

// strayEntries are what other writers leave under the engines' prefix.
func strayEntries(e *Engine) map[string]any {
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

// Entries of other writers name no engine to use and cost none of the others: on a
// node that reads all, one that watches, and one that copies.
func TestStrayEntries(t *testing.T) {
	for _, when := range []string{"before the nodes", "after the nodes", "while a node is turned away"} {
		t.Run(when, func(t *testing.T) {
			is, s := is.New(t), NewSite(t)
			if when != "before the nodes" {
				s.Start(2)
			}
			if when == "while a node is turned away" {
				s.Store.TurnAway("127.0.0.2", Silent)
			}
			for key, value := range strayEntries(s.Plain[0]) {
				s.Store.Put(key, value)
			}
			s.Store.Remove("servers/" + s.Plain[0].ID)
			s.Store.Put("servers/"+s.Plain[1].ID, []byte("{}")) // a good one is overwritten
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
			is.Equal(s.Journal.Turned(), 0)
		})
	}
}

// What is in progress at an engine whose entry is overwritten ends normally, and the
// engine gets work again with its next good entry.
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
	s.Eventually("it gets work again", func() bool {
		return s.Nodes[0].Do(Request{Path: StreamPath, Body: "x"}).Status == http.StatusOK
	})
}

// Changes that are too long for one answer are read as a list.
func TestManyLargeEntries(t *testing.T) {
	s := start(t, 1)
	for i := range 12 {
		s.Store.Put(fmt.Sprint("servers/i-large-", i), bytes.Repeat([]byte("x"), 1<<20))
	}
	s.Store.Put("servers/"+s.Plain[0].ID, s.Plain[0].Entry("draining"))
	s.Eventually("what came after is known", func() bool {
		return strings.Contains(s.Nodes[0].Logs.String(), s.Plain[0].Addr()+`","change":"drains"`)
	})
}
