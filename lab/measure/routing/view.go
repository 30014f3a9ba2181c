package routing

import (
	"strconv"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/routing"
)

// view is an immutable picture of the fleet as some nodes hold it.
type view struct {
	version int
	live    []int    // engines that may get new work
	keys    []uint64 // of live, for routing.Rank
	alive   []bool   // by node: may hold duties
	owners  []int    // by cell: node index, -1 for none
	targets [][]cell.Target
}

// views publishes the changes of the fleet to the nodes, each after its delay.
type views struct {
	version int
	split   *splitView
	delays  []float64
}

// splitView is what the second half of the nodes doesn't see.
type splitView struct {
	nodes   map[int]bool
	engines map[int]bool
}

func (v *views) init(s *sim) {
	first := s.buildView(false)
	for _, n := range s.nodes {
		n.view = first
		v.delays = append(v.delays, s.rng.Float64()*s.spread)
	}
	for _, n := range s.nodes {
		s.policy.viewChanged(n, &view{owners: make([]int, len(first.owners))}, first)
	}
}

// publish sends the present state to every node.
func (s *sim) publish() {
	s.views.version++
	a := s.buildView(false)
	b := a
	if s.views.split != nil {
		b = s.buildView(true)
	}
	for i, n := range s.nodes {
		next := a
		if i%2 == 1 {
			next = b
		}
		s.after(s.views.delays[i], func() { s.deliver(n, next) })
	}
}

func (s *sim) deliver(n *node, next *view) {
	if n.state == nodeFrozen {
		s.after(tickPeriod, func() { s.deliver(n, next) })
		return
	}
	if n.state == nodeDown || next.version <= n.view.version {
		return
	}
	old := n.view
	n.view = next
	s.policy.viewChanged(n, old, next)
}

func (s *sim) buildView(second bool) *view {
	v := &view{version: s.views.version, alive: make([]bool, len(s.nodes))}
	hidden := &splitView{}
	if second && s.views.split != nil {
		hidden = s.views.split
	}
	k := cellCount(s.scenario)
	v.targets = make([][]cell.Target, k)
	for i, e := range s.engines {
		listed := e.state == engineLive || e.state == engineLeaving
		if !listed || hidden.engines[i] {
			continue
		}
		c := s.cellOf(i)
		v.targets[c] = append(v.targets[c], cell.Target{ID: e.id, Capacity: 1, Leaving: e.state == engineLeaving})
		if e.state == engineLive {
			v.live = append(v.live, i)
			v.keys = append(v.keys, e.key)
		}
	}
	for i, n := range s.nodes {
		v.alive[i] = !hidden.nodes[i] && n.state == nodeUp
	}
	v.owners = s.assign(k, v.alive)
	return v
}

// assign picks the cells' owners among the nodes that may hold duties.
func (s *sim) assign(cells int, alive []bool) []int {
	var candidates []int
	var hashes []uint64
	for i, n := range s.nodes {
		if alive[i] {
			candidates = append(candidates, i)
			hashes = append(hashes, n.hash)
		}
	}
	duties := make([]uint64, cells)
	for c := range duties {
		duties[c] = routing.Hash(strconv.Itoa(c))
	}
	owners := routing.Assign(duties, hashes)
	for c, i := range owners {
		owners[c] = candidates[i]
	}
	return owners
}

// cellOf returns the cell of an engine.
func (s *sim) cellOf(i int) int {
	k := cellCount(s.scenario)
	if s.way == wayPerEngine {
		return i % k
	}
	return cell.IndexOf(s.engines[i].id, k)
}

// spareEngines is room for engines that join, where each is a cell.
const spareEngines = 64

func cellCount(s scenario) int {
	switch s.way {
	case wayPerEngine:
		return s.engines + spareEngines
	case wayCells:
		return s.cells
	}
	return 1
}
