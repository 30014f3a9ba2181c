package routing

import (
	"math"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/routing"
)

func newPolicy(s *sim) policy {
	switch s.way {
	case wayCells, wayPerEngine:
		return newOwners(s)
	}
	return &estimates{sim: s}
}

// estimates are the ways that ask nobody: the baselines, and the bound kept by
// each node's own estimate.
type estimates struct {
	sim *sim
	// reports are the loads of all engines at past ticks, the oldest first;
	// the first is what nodes know.
	reports []report
	turn    []int         // by node, for round robin
	changes [][]change    // by node: own sends and releases since the oldest report
	recent  []map[int]int // by node: engine to the sum of changes
}

type report struct {
	at    float64
	loads []int
	total int
}

type change struct {
	at     float64
	engine int
	n      int
}

func (p *estimates) place(r *request) placement {
	s := p.sim
	v := s.nodes[r.node].view
	if len(v.live) == 0 {
		return placement{engine: -1, reason: cell.ReasonNoTarget, retryAfter: 2}
	}
	switch s.way {
	case wayRandom:
		return placement{engine: v.live[s.rng.IntN(len(v.live))]}
	case wayRoundRobin:
		p.turn[r.node]++
		return placement{engine: v.live[p.turn[r.node]%len(v.live)]}
	case wayTwoChoices:
		a, b := v.live[s.rng.IntN(len(v.live))], v.live[s.rng.IntN(len(v.live))]
		if p.load(r.node, b) < p.load(r.node, a) {
			a = b
		}
		return placement{engine: a}
	case wayRendezvous:
		return placement{engine: best(r, v, func(int) bool { return true })}
	}
	return p.bounded(r, v)
}

// bounded takes the best-ranked engine that is under its bound by the node's
// estimate.
func (p *estimates) bounded(r *request, v *view) placement {
	s := p.sim
	total := p.reports[0].total + 1
	for _, n := range p.recent[r.node] {
		total += n
	}
	bound := int(math.Ceil(s.c * float64(total) / float64(len(v.live))))
	bound = min(bound, s.maxInFlight)
	e := best(r, v, func(i int) bool { return p.load(r.node, i) < bound })
	if e < 0 {
		return placement{engine: -1, reason: cell.ReasonSaturated, retryAfter: 1 + 4*s.rng.Float64()}
	}
	return placement{engine: e}
}

// load is a node's estimate of an engine: the last report and what the node
// itself has sent and finished since.
func (p *estimates) load(n, engine int) int {
	known := 0
	if loads := p.reports[0].loads; engine < len(loads) {
		known = loads[engine]
	}
	return known + p.recent[n][engine]
}

// best returns the best-ranked live engine that passes, or -1.
func best(r *request, v *view, ok func(engine int) bool) int {
	top, topRank := -1, uint64(0)
	for j, i := range v.live {
		if rank := routing.Rank(r.chat.id, v.keys[j]); (top < 0 || rank > topRank) && ok(i) {
			top, topRank = i, rank
		}
	}
	return top
}

func (p *estimates) placed(r *request)   { p.record(r, 1) }
func (p *estimates) released(r *request) { p.record(r, -1) }

func (p *estimates) record(r *request, n int) {
	p.changes[r.node] = append(p.changes[r.node], change{at: p.sim.now, engine: r.engine, n: n})
	p.recent[r.node][r.engine] += n
}

func (p *estimates) nodeLost(n *node) {
	p.changes[n.index] = nil
	p.recent[n.index] = make(map[int]int)
}

func (p *estimates) viewChanged(n *node, _, _ *view) {
	for len(p.recent) <= n.index {
		p.recent = append(p.recent, make(map[int]int))
		p.changes = append(p.changes, nil)
		p.turn = append(p.turn, len(p.turn)*7)
	}
	if p.reports == nil {
		p.reports = []report{{}}
	}
}

// tick takes a report of all engines, and forgets what is older than the lag.
func (p *estimates) tick() {
	s := p.sim
	now := report{at: s.now, loads: make([]int, len(s.engines))}
	for i, e := range s.engines {
		now.loads[i] = len(e.inFlight)
		now.total += len(e.inFlight)
	}
	p.reports = append(p.reports, now)
	for len(p.reports) > 1 && p.reports[1].at <= s.now-p.lag() {
		p.reports = p.reports[1:]
	}
	for n := range p.changes {
		p.forget(n, p.reports[0].at)
	}
	p.gossip()
}

// lag is the age of what a node knows of the others' load.
func (p *estimates) lag() float64 {
	if p.sim.way == wayGossip {
		return min(p.sim.lag, gossipPeriod)
	}
	return p.sim.lag
}

func (p *estimates) forget(n int, before float64) {
	old := 0
	for _, c := range p.changes[n] {
		if c.at > before {
			break
		}
		old++
		if p.recent[n][c.engine] -= c.n; p.recent[n][c.engine] == 0 {
			delete(p.recent[n], c.engine)
		}
	}
	p.changes[n] = p.changes[n][old:]
}

// gossipPeriod is how often a node tells the others its own sends, as sparse
// deltas of a few bytes an engine.
const gossipPeriod = 1.0

// gossip counts the bytes of way 2: a node's deltas reach every other node.
func (p *estimates) gossip() {
	s := p.sim
	if s.way != wayGossip || math.Mod(s.now, gossipPeriod) >= tickPeriod {
		return
	}
	for _, from := range s.nodes {
		deltas := 0
		for _, c := range p.changes[from.index] {
			if c.at > s.now-gossipPeriod {
				deltas++
			}
		}
		for _, to := range s.nodes {
			s.message(from, to, wireSizes.delta(deltas))
		}
	}
}
