package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
)

const (
	entryMemory   = 4096 // chats that an entry node remembers
	recentAge     = 5 * time.Minute
	forgetGrace   = 15.0 // longer than a freeze
	maxOwnerTries = 4    // cells asked before a request is refused
	lostReleases  = 0.002
)

// owners drives the real cells: each node holds those it believes it owns.
type owners struct {
	sim *sim
	// cells are by node and cell; nil where the node has none.
	cells [][]*owner
	// holds are by node: the places it knows it has.
	holds  []map[*request]struct{}
	totals []cell.Totals // by cell, as last exchanged
	// recent are by node: where it placed chats.
	recent []*cell.LastTargets
	// announcers are by node.
	announcers []cell.Announcer
}

// owner is one node's state for one cell.
type owner struct {
	cell   *cell.Cell
	node   *node
	number int
}

func newOwners(s *sim) *owners {
	p := &owners{sim: s, totals: make([]cell.Totals, cellCount(s.scenario))}
	for range s.scenario.nodes {
		p.cells = append(p.cells, make([]*owner, len(p.totals)))
		p.holds = append(p.holds, make(map[*request]struct{}))
		p.recent = append(p.recent, cell.NewLastTargets(entryMemory))
		p.announcers = append(p.announcers, cell.Announcer{MaxInterval: seconds(s.quiet), MinInterval: min(seconds(s.quiet), cell.DefaultMinInterval)})
	}
	return p
}

func (p *owners) config() cell.Config {
	cfg := cell.Config{LoadFactor: p.sim.c, MaxInFlight: p.sim.maxInFlight, NewFactor: p.sim.newFactor}
	if p.sim.noPauseFix {
		cfg.MaxPause = time.Hour
	}
	return cfg
}

// place asks the owner of the chat's home cell, then those of the cells of the
// next-ranked targets.
func (p *owners) place(r *request) placement {
	s := p.sim
	n := s.nodes[r.node]
	tried := make([]int, 0, maxOwnerTries)
	refusal := placement{engine: -1, reason: cell.ReasonNoTarget, retryAfter: 2}
	for !p.done(tried) {
		k := p.nextCell(r, n.view, tried)
		if k < 0 {
			break
		}
		tried = append(tried, k)
		v, ok := p.ask(r, n, k, p.done(tried))
		if !ok {
			continue
		}
		if v.Outcome == cell.Granted {
			return placement{engine: s.index[v.Target]}
		}
		refusal.reason, refusal.retryAfter = v.Reason, v.RetryAfter.Seconds()
		if v.Outcome == cell.Refused {
			return refusal
		}
	}
	return refusal
}

// done says whether the last cell has been asked.
func (p *owners) done(tried []int) bool { return len(tried) >= min(maxOwnerTries, len(p.totals)+1) }

// nextCell is the cell of the best-ranked engine outside the tried cells; the
// last try goes to the least-loaded one, which may have been tried.
func (p *owners) nextCell(r *request, v *view, tried []int) int {
	s := p.sim
	e := best(r, v, func(i int) bool { return len(tried) == 0 || !slices.Contains(tried, s.cellOf(i)) })
	if e < 0 || p.done(append(tried, 0)) {
		return p.leastLoaded()
	}
	return s.cellOf(e)
}

func (p *owners) leastLoaded() int {
	least, load := -1, math.Inf(1)
	for k, t := range p.totals {
		if t.Capacity == 0 {
			continue
		}
		if l := float64(t.InFlight) / float64(t.Capacity); l < load {
			least, load = k, l
		}
	}
	return least
}

// ask sends an AcquireRequest to the owner that the entry node believes in. It returns
// false if that node doesn't answer or doesn't own the cell.
func (p *owners) ask(r *request, n *node, k int, last bool) (cell.Decision, bool) {
	s := p.sim
	if n.view.owners[k] < 0 {
		return cell.Decision{}, false
	}
	to := s.nodes[n.view.owners[k]]
	a := cell.AcquireRequest{
		Holder: n.holder(), Request: r.id, Chat: r.chat.id, Workspace: workspaceName(r.chat.workspace),
		Weight: workspaceWeight(r.chat.workspace), Urgency: r.chat.urgency, Exclude: r.exclude, Returning: r.chat.turns > 0, Last: last,
	}
	s.message(n, to, wireSizes.ask(len(a.Exclude)))
	o := p.cells[to.index][k]
	if to.state != nodeUp || o == nil {
		return cell.Decision{}, false
	}
	v := o.cell.Acquire(s.time(), a)
	s.message(to, n, wireSizes.verdict(v.Outcome))
	if s.measuring() {
		s.stats.calls++
		if to != n {
			s.stats.remote++
		}
		if v.Outcome == cell.Full {
			s.stats.spills++
		}
	}
	if v.Outcome == cell.Granted {
		r.owner = o
	}
	return v, true
}

func (p *owners) placed(r *request) {
	p.holds[r.node][r] = struct{}{}
	p.recent[r.node].Put(p.sim.time(), r.chat.id, p.sim.engines[r.engine].id)
}

// released tells the owner of the engine's cell, as the node now sees it.
func (p *owners) released(r *request) {
	s := p.sim
	n := s.nodes[r.node]
	delete(p.holds[r.node], r)
	if n.state == nodeDown || s.rng.Float64() < lostReleases {
		return
	}
	k := s.cellOf(r.engine)
	to := s.nodes[max(n.view.owners[k], 0)]
	s.message(n, to, wireSizes.release())
	if o := p.cells[to.index][k]; o != nil && to.state == nodeUp {
		o.cell.Release(n.holder(), r.id)
	}
}

// nodeLost drops what a dead node knew.
func (p *owners) nodeLost(n *node) {
	p.cells[n.index] = make([]*owner, len(p.totals))
	p.holds[n.index] = make(map[*request]struct{})
	p.recent[n.index] = cell.NewLastTargets(entryMemory)
}

func (p *owners) tick() {
	s := p.sim
	for _, n := range s.nodes {
		if n.state != nodeUp {
			continue
		}
		for _, o := range p.cells[n.index] {
			if o != nil {
				o.cell.Tick(s.time())
				p.pullMissing(o)
			}
		}
	}
	p.resyncDue()
	p.exchange()
}

func (p *owners) pullMissing(o *owner) {
	if waiting := o.cell.Waiting(); len(waiting) > 0 && math.Mod(p.sim.now, 1) < tickPeriod {
		slices.SortFunc(waiting, func(a, b cell.Holder) int { return cmp.Compare(a.Node, b.Node) })
		p.pull(o, waiting)
	}
}

// resyncDue lets each node resync with one share of its owners at each tick.
func (p *owners) resyncDue() {
	steps := int(p.sim.resync / tickPeriod)
	step := int(math.Round(p.sim.now/tickPeriod)) % steps
	for _, n := range p.sim.nodes {
		if n.state != nodeUp {
			continue
		}
		for k := range p.totals {
			if (k+n.index)%steps == step && n.view.owners[k] >= 0 {
				p.resyncIfAny(n, k)
			}
		}
	}
}

// resyncIfAny skips an owner that knows of no place of this node.
func (p *owners) resyncIfAny(n *node, k int) {
	if o := p.cells[n.view.owners[k]][k]; o == nil || !slices.Contains(o.cell.Holders(), n.holder()) {
		return
	}
	p.resync(n, k, false)
}
