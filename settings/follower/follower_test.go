package follower

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/store"
)

const document = `{"models":{"m":{}}}`

// TestGate holds revision 5 and checks the decision for it.
func TestGate(t *testing.T) {
	cases := []struct {
		name      string
		confirmed int64
		alone     bool
		after     time.Duration
		want      decision
	}{
		{"not confirmed", 4, false, 0, wait},
		{"confirmed", 5, false, 0, serve},
		{"alone", 0, true, 0, serve},
		{"not confirmed in time", 4, false, holdTimeout, serveUnconfirmed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var g gate
			start := time.Unix(0, 0)
			g.recordHeld(5, start)
			g.confirm(c.confirmed)
			is.New(t).Equal(g.decide(5, c.alone, start.Add(c.after)), c.want)
		})
	}
}

func TestStart(t *testing.T) {
	cases := []struct {
		name  string
		fault func(f *fleet)
		head  int64 // -1 for not serving
	}{
		{"store and peers answer", func(*fleet) {}, 3},
		{"store unavailable, peers answer", func(f *fleet) { f.store.setOutage(true) }, 3},
		{"store stale, peers answer", func(f *fleet) { f.store.pageIndex = 0 }, 3},
		{"store answers, peers unreachable", func(f *fleet) { f.net.lost = func(string) bool { return true } }, 3},
		{"one peer has an old copy", func(f *fleet) {
			old := f.replace(1)
			f.store.pageIndex = 0
			_, _ = old.catchUp(context.Background())
			old.ready = true
			f.store.setOutage(true)
		}, 3},
		{"store and peers unavailable", func(f *fleet) {
			f.store.setOutage(true)
			f.net.lost = func(string) bool { return true }
		}, -1},
		{"store unavailable, peers not started", func(f *fleet) {
			f.store.setOutage(true)
			for i := range f.nodes {
				f.replace(i)
			}
		}, -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(4, 2, 1)
			for range 3 {
				f.accept(document, "a")
			}
			for i := range 3 {
				f.start(i)
			}
			f.clock = f.clock.Add(holdTimeout)
			for i := range 3 {
				f.nodes[i].publish()
			}
			c.fault(f)
			f.replace(3)
			f.start(3)
			f.clock = f.clock.Add(holdTimeout)
			f.nodes[3].publish()
			snap := f.nodes[3].Snapshot()
			if c.head < 0 {
				is.True(snap == nil)
				return
			}
			is.Equal(snap.Revision, c.head)
			is.Equal(len(snap.Teams), 1)
		})
	}
}

func TestUndecodableRecordKeepsThePrevious(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1)
	f.start(0)
	for i, doc := range []string{document, `{"models":3}`, `{"models":{"m":{}},"of_a_newer_version":1}`} {
		f.nodes[0].apply(context.Background(), accepted.Delta{Since: int64(i), Through: int64(i) + 1, Records: []accepted.Record{
			{Team: "a", Revision: int64(i) + 1, Document: []byte(doc)},
		}}, sourceStore)
		_, ok := f.nodes[0].Snapshot().Model("a", "m")
		is.True(ok)
	}
	is.Equal(testutil.ToFloat64(f.nodes[0].metrics.undecodable), 1.0)
}

func TestLargeStateIsPulledInParts(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 1, 1)
	big := `{"models":{"` + strings.Repeat("m", accepted.MaxDeltaBytes/2) + `":{}}}`
	for _, team := range []string{"a", "b", "c", "d"} {
		f.accept(big, team)
	}
	f.start(0)
	is.NoErr(f.nodes[1].pull(context.Background(), nodeID(0), callTimeout))
	is.Equal(f.nodes[1].Head(), int64(4))
	is.True(testutil.ToFloat64(f.nodes[1].metrics.pulls.WithLabelValues("ok")) > 2)
}

// TestNothingServedReverts applies generated faults to nodes and checks that no VM
// ever serves an older document of a team than before, even after its node restarts
// while the store is unavailable.
func TestNothingServedReverts(t *testing.T) {
	const nodes = 4
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		f := newFleet(nodes, rapid.IntRange(1, 4).Draw(rt, "domains"), rapid.IntRange(1, 2).Draw(rt, "regions"))
		for i := range nodes {
			f.start(i)
		}
		served := make([]map[string]int64, nodes) // by VM, kept across restarts
		for i := range served {
			served[i] = make(map[string]int64)
		}
		node := func(t *rapid.T) int { return rapid.IntRange(0, nodes-1).Draw(t, "node") }
		pull := func(t *rapid.T) {
			if to, from := node(t), node(t); to != from {
				_ = f.nodes[to].pull(ctx, nodeID(from), callTimeout)
			}
		}
		answer := func(t *rapid.T) {
			f.store.pageIndex = rapid.IntRange(0, max(0, len(f.store.pages)-1)).Draw(t, "page")
		}
		rt.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				f.accept(numbered(len(f.store.pages)+1), rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b"}), 1, 2, rapid.ID).Draw(t, "teams")...)
			},
			"outage": func(t *rapid.T) { f.store.setOutage(rapid.Bool().Draw(t, "down")) },
			"read": func(t *rapid.T) {
				answer(t)
				_, _ = f.nodes[node(t)].catchUp(ctx)
			},
			"watch": func(t *rapid.T) {
				if len(f.store.pages) == 0 {
					return
				}
				events := f.store.events(rapid.IntRange(0, len(f.store.pages)-1).Draw(t, "at"))
				from := rapid.IntRange(0, len(events)-1).Draw(t, "lost")
				answer(t)
				_ = f.nodes[node(t)].onBatch(ctx, store.WatchBatch{Events: events[from:]})
			},
			"pull": pull,
			"hint": func(t *rapid.T) { f.drainHints(node(t)) },
			"lose": func(t *rapid.T) {
				lost := nodeID(node(t))
				f.net.lost = func(to string) bool { return to == lost }
				pull(t)
				f.net.lost = nil
			},
			"restart": func(t *rapid.T) {
				i := node(t)
				f.replace(i)
				answer(t)
				f.start(i)
			},
			"": func(t *rapid.T) {
				for i, n := range f.nodes {
					checkServed(t, n, served[i])
				}
			},
		})
		f.store.setOutage(false)
		f.store.pageIndex = len(f.store.pages) - 1
		for i := range nodes {
			f.start(i) // repeats the bootstrap, as a node does that got no answer
			_, _ = f.nodes[i].catchUp(ctx)
			_ = f.nodes[i].pull(ctx, nodeID((i+1)%nodes), callTimeout)
		}
		f.clock = f.clock.Add(holdTimeout)
		for i := range nodes {
			_ = f.nodes[i].pull(ctx, nodeID((i+1)%nodes), callTimeout)
			f.nodes[i].publish()
			is.New(rt).Equal(f.nodes[i].Snapshot().Revision, int64(len(f.store.pages)))
		}
	})
}

// numbered returns a document whose max_in_flight is its revision.
func numbered(revision int) string {
	return fmt.Sprintf(`{"models":{"m":{"max_in_flight":%d}}}`, revision)
}

// checkServed checks that neither the revision in force nor any team's document is
// older than the last one; last has the revision in force under "".
func checkServed(t *rapid.T, n *Follower, last map[string]int64) {
	snap := n.Snapshot()
	if snap == nil {
		return
	}
	if snap.Revision < last[""] {
		t.Fatalf("%s serves revision %d after %d", n.self().ID, snap.Revision, last[""])
	}
	last[""] = snap.Revision
	for team := range snap.Teams {
		m, _ := snap.Model(team, "m")
		r := int64(m.MaxInFlight)
		if r < last[team] {
			t.Fatalf("%s serves %s of revision %d after %d", n.self().ID, team, r, last[team])
		}
		last[team] = r
	}
}
