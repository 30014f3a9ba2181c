package admission

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/targets"
)

// heldPlaces are the places that callers hold, and their number on each target.
type heldPlaces struct {
	grants []Grant
	counts map[string]int
}

func newHeldPlaces() *heldPlaces { return &heldPlaces{counts: make(map[string]int)} }

func (l *heldPlaces) add(g Grant) {
	l.grants = append(l.grants, g)
	l.counts[g.Target.ID]++
}

func (l *heldPlaces) release(i int) {
	g := l.grants[i]
	g.Release(Answered)
	l.grants = slices.Delete(l.grants, i, i+1)
	if l.counts[g.Target.ID]--; l.counts[g.Target.ID] == 0 {
		delete(l.counts, g.Target.ID)
	}
}

// bound is ceil(c × mean) of the places held now.
func (l *heldPlaces) bound(engines int) int {
	return int(math.Ceil(settings.DefaultLoadFactor * float64(len(l.grants)) / float64(engines)))
}

// TestBoundWhicheverNodeAsks: while all nodes have the same view, no grant takes a target
// beyond ceil(c × mean), for any asking node and number of cells.
func TestBoundWhicheverNodeAsks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const nodes, engines = 4, 6
		f := newFleet(nodes, engines, rapid.IntRange(1, 3).Draw(rt, "cells"))
		held := newHeldPlaces()
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			if len(held.grants) > 0 && rapid.IntRange(0, 3).Draw(rt, "release") == 0 {
				held.release(rapid.IntRange(0, len(held.grants)-1).Draw(rt, "place"))
				f.exchangeTotals()
				continue
			}
			g, err := f.acquire(rapid.IntRange(0, nodes-1).Draw(rt, "node"), rapid.Uint64Range(0, 3).Draw(rt, "chat"))
			if err != nil {
				rt.Fatal(err)
			}
			held.add(g)
			if n, limit := held.counts[g.Target.ID], held.bound(engines); n > limit {
				rt.Fatalf("%s has %d requests, limit %d of %v", g.Target.ID, n, limit, held.counts)
			}
			f.exchangeTotals()
		}
		for _, n := range f.nodes {
			if n.requests(outcomeFallback) > 0 {
				rt.Fatal("placed by the local estimate without a fault")
			}
		}
	})
}

// TestLateTotalsDontCauseFallback: while a pool fills faster than its owners exchange
// totals, requests are still placed by the owners' counts.
func TestLateTotalsDontCauseFallback(t *testing.T) {
	const nodes, engines, cells, requests = 4, 8, 4, 200
	f := newFleet(nodes, engines, cells)
	for i := range requests {
		if _, err := f.acquire(i%nodes, uint64(i)); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range f.nodes {
		is.New(t).Equal(n.fallbacks(reasonAllFull), 0)
	}
}

// TestNoOwnerFaultLosesARequest: with any fault of the owner, a request gets a place, and
// the count is exact again once the fault has ended.
func TestNoOwnerFaultLosesARequest(t *testing.T) {
	tests := []struct {
		name   string
		inject func(f *fleet, owner *fakeNode)
		reason string // of the fallback; empty if an owner decides
	}{
		{"healthy", func(*fleet, *fakeNode) {}, ""},
		{"unreachable", func(_ *fleet, o *fakeNode) { o.fault = faultUnreachable }, reasonUnreachable},
		{"frozen", func(_ *fleet, o *fakeNode) { o.fault = faultFrozen }, reasonTimeout},
		{"answers too late", func(_ *fleet, o *fakeNode) { o.fault = faultSlow }, reasonTimeout},
		{"hands over", func(_ *fleet, o *fakeNode) { _ = o.Drain(context.Background()) }, reasonRecovering},
		{"has another owner in its view", func(f *fleet, o *fakeNode) { o.views.v.Store(f.view(o.cfg.Node)) }, reasonNotOwner},
		{"has no settings", func(_ *fleet, o *fakeNode) { o.settings.v.Store(nil) }, reasonNotOwner},
		{"dead in every view", func(f *fleet, o *fakeNode) {
			o.fault = faultUnreachable
			f.setViews(f.view(o.cfg.Node))
			f.advance(0)
		}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(4, 6, 1)
			owner := f.owner(t, 0)
			asker := slices.IndexFunc(f.nodes, func(n *fakeNode) bool { return n != owner })
			tt.inject(f, owner)
			held := newHeldPlaces()
			g, err := f.acquire(asker, 1)
			is.NoErr(err)
			held.add(g)
			if tt.reason == "" {
				is.Equal(f.nodes[asker].requests(outcomeFallback), 0)
			} else {
				is.Equal(f.nodes[asker].fallbacks(tt.reason), 1)
			}
			owner.fault = faultNone
			if tt.reason != "" && !owner.draining.Load() {
				f.setViews(f.view())
				f.setSettings(1)
			}
			f.settle()
			is.Equal(f.counted(), held.counts)
			held.release(0)
			f.settle()
			is.Equal(f.counted(), held.counts)
		})
	}
}

// TestCountsExactAfterViewChanges: while nodes have different views and calls fail, every
// request gets a place; once the views agree, the counts become exact.
func TestCountsExactAfterViewChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const nodes, engines = 4, 4
		f := newFleet(nodes, engines, rapid.IntRange(1, 2).Draw(rt, "cells"))
		held := newHeldPlaces()
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			n := rapid.IntRange(0, nodes-1).Draw(rt, "node")
			switch rapid.SampledFrom([]string{"acquire", "acquire", "acquire", "release", "view", "fault", "pass"}).Draw(rt, "kind") {
			case "acquire":
				g, err := f.acquire(n, rapid.Uint64Range(0, 3).Draw(rt, "chat"))
				if err != nil {
					rt.Fatal(err)
				}
				held.add(g)
			case "release":
				if len(held.grants) > 0 {
					held.release(rapid.IntRange(0, len(held.grants)-1).Draw(rt, "place"))
				}
			case "view":
				dead := f.nodes[rapid.IntRange(0, nodes-1).Draw(rt, "dead")].cfg.Node
				f.nodes[n].views.v.Store(f.view(dead))
			case "fault":
				f.nodes[n].fault = fault(rapid.IntRange(0, int(faultSlow)).Draw(rt, "fault"))
			default:
				f.advance(time.Duration(rapid.IntRange(10, 1500).Draw(rt, "ms")) * time.Millisecond)
			}
		}
		for _, n := range f.nodes {
			n.fault = faultNone
		}
		f.setViews(f.view())
		f.settle()
		if got := f.counted(); !maps.Equal(got, held.counts) {
			rt.Fatalf("owners count %v, callers hold %v", got, held.counts)
		}
	})
}

// TestNewOwnerPullsPlaces: the successor of a killed owner pulls all places before it grants
// any, so that the bound still holds.
func TestNewOwnerPullsPlaces(t *testing.T) {
	is := is.New(t)
	f := newFleet(5, 4, 1)
	held := newHeldPlaces()
	owner := f.owner(t, 0)
	asker := slices.IndexFunc(f.nodes, func(n *fakeNode) bool { return n != owner })
	for chat := range uint64(40) {
		g, err := f.acquire(asker, chat)
		is.NoErr(err)
		held.add(g)
	}
	owner.fault = faultUnreachable
	f.setViews(f.view(owner.cfg.Node))
	f.advance(0)
	is.Equal(f.counted(), held.counts)
	for range 40 {
		g, err := f.acquire(asker, 1) // one chat: without a bound all would go to the target with the highest rank
		is.NoErr(err)
		held.add(g)
		is.True(held.counts[g.Target.ID] <= held.bound(4))
	}
}

// TestNewOwnerPullsChats: the successor of a killed owner sends a chat to the target on
// which it ran, even if another target ranks higher for it.
func TestNewOwnerPullsChats(t *testing.T) {
	is := is.New(t)
	f := newFleet(5, 4, 1)
	owner := f.owner(t, 0)
	asker := slices.IndexFunc(f.nodes, func(n *fakeNode) bool { return n != owner })
	ran := make(map[uint64]string)
	var grants []Grant
	for chat := range uint64(20) {
		g, err := f.acquire(asker, chat)
		is.NoErr(err)
		ran[chat] = g.Target.ID
		grants = append(grants, g)
	}
	for _, g := range grants {
		g.Release(Answered)
	}
	f.advance(releaseDelay)
	owner.fault = faultUnreachable
	f.setViews(f.view(owner.cfg.Node))
	f.advance(0)
	back := 0
	for chat, target := range ran {
		g, err := f.acquire(asker, chat)
		is.NoErr(err)
		if g.Target.ID == target {
			back++
		}
		g.Release(Answered)
		f.advance(releaseDelay)
	}
	is.Equal(back, len(ran))
}

// TestResyncBuiltBeforeTheGrant: a resync that was built while an ask was pending, and
// arrives after the grant, doesn't remove the place.
func TestResyncBuiltBeforeTheGrant(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 4, 1)
	owner := f.owner(t, 0)
	asker := slices.IndexFunc(f.nodes, func(n *fakeNode) bool { return n != owner })
	n := f.nodes[asker]
	k := n.plan().keys(testPool, testRegion)[0]
	var early holds.Resync
	n.onCall = func(method string) {
		if method == methodAcquire {
			early = n.table.BuildResync(k, owner.self.Holder())
		}
	}
	g, err := f.acquire(asker, 1)
	is.NoErr(err)
	is.Equal(len(early.Pending), 1)
	owner.resyncOwned(early)
	is.Equal(f.counted(), map[string]int{g.Target.ID: 1})
}

func TestLeavingTargetGetsNothingNew(t *testing.T) {
	tests := []struct {
		name      string
		leavingAt func(f *fleet, owner, asker *fakeNode) []*fakeNode
	}{
		{"leaving only in the asking node's list", func(_ *fleet, _, asker *fakeNode) []*fakeNode { return []*fakeNode{asker} }},
		{"leaving only in the owner's list", func(_ *fleet, owner, _ *fakeNode) []*fakeNode { return []*fakeNode{owner} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3, 3, 1)
			owner := f.owner(t, 0)
			asker := slices.IndexFunc(f.nodes, func(n *fakeNode) bool { return n != owner })
			before, err := f.acquire(asker, 1)
			is.NoErr(err)
			list := engineList(3)
			for i := range list {
				list[i].Leaving = list[i].ID == before.Target.ID
			}
			for _, n := range tt.leavingAt(f, owner, f.nodes[asker]) {
				n.targets.v.Store(&targets.Snapshot{Pools: map[string][]targets.Target{testPool: list}})
			}
			held := newHeldPlaces()
			held.add(before)
			for range 10 {
				g, err := f.acquire(asker, 1)
				is.NoErr(err)
				is.True(g.Target.ID != before.Target.ID)
				held.add(g)
			}
			f.advance(releaseDelay)
			is.Equal(f.counted(), held.counts) // the requests in flight stay counted
		})
	}
}

func TestCellsChange(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 6, 1)
	held := newHeldPlaces()
	for chat := range uint64(20) {
		g, err := f.acquire(int(chat)%3, chat)
		is.NoErr(err)
		held.add(g)
	}
	f.setSettings(3)
	f.settle()
	is.Equal(f.counted(), held.counts)
	for len(held.grants) > 0 {
		held.release(0)
	}
	f.advance(releaseDelay)
	is.Equal(f.counted(), held.counts)
}

func TestRefusals(t *testing.T) {
	// The only workspace may also be refused for exceeding its share.
	saturated := []problem.Reason{problem.Saturated, problem.WorkspaceLimit}
	full := func(cells int) *fleet {
		f := newFleet(3, 3, cells)
		s := settings.NewSnapshot(2, map[string]settings.Team{"team": {
			Models: map[string]settings.Model{testPool: {MaxInFlight: 1, Cells: cells}},
		}})
		for _, n := range f.nodes {
			n.settings.v.Store(s)
		}
		f.settle()
		for chat := range uint64(3) {
			_, _ = f.acquire(0, chat)
			f.exchangeTotals()
		}
		return f
	}
	tests := []struct {
		name    string
		fleet   func() *fleet
		reasons []problem.Reason
	}{
		{"full", func() *fleet { return full(1) }, saturated},
		{"full in every cell", func() *fleet { return full(3) }, saturated},
		{"no target", func() *fleet {
			f := newFleet(3, 3, 1)
			f.setTargets(nil)
			return f
		}, []problem.Reason{problem.NoTarget}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := tt.fleet().acquire(1, 1)
			p, ok := err.(*problem.Problem)
			is.True(ok)
			is.True(slices.Contains(tt.reasons, p.Reason))
			is.Equal(p.Execution, problem.NotRun)
			is.True(p.RetryAfter > 0)
		})
	}
}

// TestDrainMovesCells: a node that drains owns no cells any more; its own requests stay
// counted at the next owner.
func TestDrainMovesCells(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 4, 1)
	owner := f.owner(t, 0)
	self := slices.Index(f.nodes, owner)
	held := newHeldPlaces()
	g, err := f.acquire(self, 1)
	is.NoErr(err)
	held.add(g)
	is.NoErr(owner.Drain(context.Background()))
	is.Equal(owner.plan().candidates[testRegion].nodes, slices.DeleteFunc(f.view().Eligible(testRegion), func(n membership.Node) bool { return n.ID == owner.cfg.Node }))
	_, err = f.acquire((self+1)%4, 2) // the ask announces the draining node to the next owner
	is.NoErr(err)
	f.advance(0)
	f.advance(releaseDelay)
	is.Equal(owner.owned.len(), 0)
	is.Equal(f.counted()[g.Target.ID] >= 1, true)
}

// TestConcurrentUse: concurrent requests through every node, changes of views and the nodes'
// periodic work leave exact counts.
func TestConcurrentUse(t *testing.T) {
	f := newFleet(3, 6, 2)
	var wg sync.WaitGroup
	for node := range f.nodes {
		for worker := range 4 {
			wg.Go(func() {
				for i := range 100 {
					g, err := f.acquire(node, uint64(worker*100+i))
					if err != nil {
						t.Error(err)
						return
					}
					g.Release(Answered)
				}
			})
		}
		wg.Go(func() {
			for i := range 50 {
				f.nodes[node].views.v.Store(f.view(f.nodes[i%3].cfg.Node))
				f.nodes[node].tick(context.Background())
				f.nodes[node].flush(context.Background())
			}
		})
	}
	wg.Wait()
	f.setViews(f.view())
	f.settle()
	is.New(t).Equal(f.counted(), map[string]int{})
}
