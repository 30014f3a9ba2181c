package dispatch

import (
	"strings"
	"time"

	"slices"

	"github.com/knapweedgw/knapweedgw/admission/holds"
)

const (
	// claimTTL is how long a node that claimed a cell counts as an owner of it.
	claimTTL = time.Second
	// claimInterval is the time between two claims of an owner that has a rival or took over since
	// others can't reach the node before it, so that one lost message isn't the end of a claim.
	claimInterval = claimTTL / 2
	// rivalShare is the fraction of each target's places that an owner with a rival grants.
	rivalShare = 0.5
)

// claims has the nodes that claim to own cells. It isn't safe for concurrent use.
type claims struct {
	cells map[holds.CellKey]map[string]claim
}

type claim struct {
	incarnation int64
	until       time.Time
}

func newClaims() *claims { return &claims{cells: make(map[holds.CellKey]map[string]claim)} }

// add records that a node claims a cell. An older run of the node is ignored.
func (c *claims) add(k holds.CellKey, from holds.From, now time.Time) {
	m := c.cells[k]
	if m == nil {
		m = make(map[string]claim)
		c.cells[k] = m
	}
	if old, ok := m[from.Node]; !ok || old.incarnation <= from.Incarnation {
		m[from.Node] = claim{from.Incarnation, now.Add(claimTTL)}
	}
}

// others returns the nodes that claim a cell, without the given one, sorted.
func (c *claims) others(k holds.CellKey, node string, now time.Time) []holds.From {
	var out []holds.From
	for n, cl := range c.cells[k] {
		if n != node && now.Before(cl.until) {
			out = append(out, holds.From{Node: n, Incarnation: cl.incarnation})
		}
	}
	slices.SortFunc(out, func(a, b holds.From) int { return strings.Compare(a.Node, b.Node) })
	return out
}

// withdraw removes the claim of a node that says that it doesn't own a cell.
func (c *claims) withdraw(k holds.CellKey, node string) { delete(c.cells[k], node) }

func (c *claims) expire(now time.Time) {
	for k, m := range c.cells {
		for node, cl := range m {
			if !now.Before(cl.until) {
				delete(m, node)
			}
		}
		if len(m) == 0 {
			delete(c.cells, k)
		}
	}
}
