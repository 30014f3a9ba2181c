package routing

import (
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
)

// exchange lets each node that is due tell the others the totals of its cells,
// in one message to each node that owns some.
func (p *owners) exchange() {
	s := p.sim
	var due, holding []*node
	for _, n := range s.nodes {
		if n.state != nodeUp {
			continue
		}
		if t := p.ownTotals(n); t.Capacity > 0 {
			holding = append(holding, n)
			if p.announcers[n.index].Due(s.time(), t) {
				due = append(due, n)
			}
		}
	}
	for _, from := range due {
		p.announce(from, holding)
	}
	p.tellOthers(holding)
}

func (p *owners) ownTotals(n *node) cell.Totals {
	var t cell.Totals
	for _, o := range p.cells[n.index] {
		if o != nil && !o.cell.Recovering() {
			t = plus(t, o.cell.Totals())
		}
	}
	return t
}

func (p *owners) announce(from *node, to []*node) {
	owned := 0
	for k, o := range p.cells[from.index] {
		if o != nil && !o.cell.Recovering() {
			p.totals[k] = o.cell.Totals()
			owned++
		}
	}
	for _, n := range to {
		p.sim.message(from, n, wireSizes.totals(owned))
	}
}

// tellOthers sets what each owner knows of the other cells. Of the cells on its
// own node it knows the present load.
func (p *owners) tellOthers(holding []*node) {
	var all cell.Totals
	for _, t := range p.totals {
		all = plus(all, t)
	}
	for _, n := range holding {
		others := all
		for k, o := range p.cells[n.index] {
			if o != nil {
				others = plus(minus(others, p.totals[k]), o.cell.Totals())
			}
		}
		for _, o := range p.cells[n.index] {
			if o != nil {
				o.cell.SetOthers(minus(others, o.cell.Totals()))
			}
		}
	}
}

func plus(a, b cell.Totals) cell.Totals {
	return cell.Totals{InFlight: a.InFlight + b.InFlight, Capacity: a.Capacity + b.Capacity}
}

func minus(a, b cell.Totals) cell.Totals {
	return cell.Totals{InFlight: a.InFlight - b.InFlight, Capacity: a.Capacity - b.Capacity}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
