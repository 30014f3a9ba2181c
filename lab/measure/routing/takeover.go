package routing

import (
	"cmp"
	"slices"

	"github.com/knapweedgw/knapweedgw/admission/cell"
)

// viewChanged takes over and gives up cells, and tells new owners the node's
// places.
func (p *owners) viewChanged(n *node, old, next *view) {
	for k := range next.owners {
		p.follow(n, k, next)
	}
	first := old.alive == nil
	for i, alive := range old.alive {
		if alive && !next.alive[i] {
			p.forgetLater(n, p.sim.nodes[i])
		}
	}
	for k, to := range next.owners {
		if !first && old.owners[k] != to && to >= 0 {
			p.resync(n, k, true)
			p.remember(n, p.sim.nodes[to], k, p.recentIn(n, k))
		}
	}
}

// follow gives a node the cells that its view assigns to it.
func (p *owners) follow(n *node, k int, v *view) {
	o := p.cells[n.index][k]
	if v.owners[k] != n.index {
		p.handOver(n, k, v)
		return
	}
	if o == nil {
		o = p.take(n, k, v)
	}
	o.cell.SetTargets(v.targets[k])
}

// handOver gives a cell's memory to its new owner.
func (p *owners) handOver(n *node, k int, v *view) {
	o := p.cells[n.index][k]
	p.cells[n.index][k] = nil
	if o == nil || v.owners[k] < 0 {
		return
	}
	to := p.sim.nodes[v.owners[k]]
	p.remember(n, to, k, o.cell.LastTargets().Recent(p.sim.time(), recentAge, func(string) bool { return true }))
}

// remember sends chats' last targets to the owner of a cell.
func (p *owners) remember(from, to *node, k int, list []cell.RecentChat) {
	if p.sim.noHandover || len(list) == 0 {
		return
	}
	p.sim.message(from, to, wireSizes.remember(len(list)))
	if o := p.cells[to.index][k]; o != nil && to.state == nodeUp {
		o.cell.LastTargets().Merge(p.sim.time(), list)
	}
}

func (p *owners) take(n *node, k int, v *view) *owner {
	o := &owner{cell: cell.New(p.config()), node: n, number: k}
	p.cells[n.index][k] = o
	if p.sim.now == 0 {
		return o
	}
	var holders []cell.Holder
	for i, alive := range v.alive {
		if alive {
			holders = append(holders, p.sim.nodes[i].holder())
		}
	}
	o.cell.Takeover(holders)
	p.pull(o, holders)
	return o
}

// pull makes an owner that waits ask its holders for their places.
func (p *owners) pull(o *owner, holders []cell.Holder) {
	for _, h := range holders {
		from := p.nodeOf(h)
		p.sim.message(o.node, from, wireSizes.pull())
		if from.state == nodeUp && from.view != nil && from.view.owners[o.number] == o.node.index {
			p.resync(from, o.number, true)
			p.remember(from, o.node, o.number, p.recentIn(from, o.number))
		}
	}
}

// recentIn lists what an entry node placed in a cell.
func (p *owners) recentIn(n *node, k int) []cell.RecentChat {
	s := p.sim
	return p.recent[n.index].Recent(s.time(), recentAge, func(target string) bool { return s.cellOf(s.index[target]) == k })
}

func (p *owners) nodeOf(h cell.Holder) *node {
	i, _ := slices.BinarySearchFunc(p.sim.nodes, h.Node, func(n *node, id string) int { return cmp.Compare(n.id, id) })
	return p.sim.nodes[i]
}

// forgetLater stops waiting for a node that seems dead. The places of one that
// resets its connections are dropped; one that is silent may be frozen while its
// requests still run, so its places are kept for a while.
func (p *owners) forgetLater(n, dead *node) {
	if dead.state == nodeDown {
		p.forget(n, dead)
	}
	for _, o := range p.cells[n.index] {
		if o != nil {
			o.cell.StopWaiting(dead.holder())
		}
	}
	p.sim.after(forgetGrace, func() {
		if !n.view.alive[dead.index] {
			p.forget(n, dead)
		}
	})
}

// forget drops the places of a node that this one believes dead.
func (p *owners) forget(n, dead *node) {
	for _, o := range p.cells[n.index] {
		if o == nil {
			continue
		}
		for _, h := range o.cell.Holders() {
			if h.Node == dead.id {
				o.cell.DropHolder(h)
			}
		}
	}
}

// resync tells the owner of a cell all places that a node has there, in full if
// the owner is new to them.
func (p *owners) resync(n *node, k int, fresh bool) {
	s := p.sim
	to := s.nodes[n.view.owners[k]]
	var list []cell.Place
	for _, r := range sortedRequests(p.holds[n.index]) {
		if s.cellOf(r.engine) == k {
			list = append(list, cell.Place{
				Request: r.id, Target: s.engines[r.engine].id,
				Workspace: workspaceName(r.chat.workspace), Chat: r.chat.id,
			})
		}
	}
	size := wireSizes.resync(len(list))
	if fresh {
		size = wireSizes.details(len(list))
	}
	s.message(n, to, size)
	if o := p.cells[to.index][k]; o != nil && to.state == nodeUp {
		o.cell.Resync(n.holder(), list)
	}
}
