package dispatch

import (
	"strconv"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/routing"
)

const (
	// placesPerCell is the number of places of a cell that a node with 0.2 cores can own.
	placesPerCell = 48
	// maxCells is the largest number of cells of a service that a message may name.
	maxCells = 1024
	// cellsShrinkAfter is how long a service needs fewer cells until it gets them, since targets in
	// a cooldown leave the list and come back.
	cellsShrinkAfter = 10 * time.Second
)

// cellCount is the number of cells of a service.
type cellCount struct {
	cells       int
	tooManyFrom time.Time // since when fewer cells would do; zero if they wouldn't
	updatedAt   time.Time
}

// update returns the number of cells for targets with the given number of places.
func (c *cellCount) update(places int, now time.Time) int {
	c.updatedAt = now
	need := min(max((places+placesPerCell-1)/placesPerCell, 1), maxCells)
	switch {
	case need >= c.cells:
		c.cells, c.tooManyFrom = need, time.Time{}
	case c.tooManyFrom.IsZero():
		c.tooManyFrom = now
	case now.Sub(c.tooManyFrom) >= cellsShrinkAfter:
		c.cells, c.tooManyFrom = need, time.Time{}
	}
	return c.cells
}

// capacityOf returns the number of places of targets by which they are split into cells. Capacity isn't
// used if Slots is known: it contains places that depend on durations measured by each node.
func capacityOf(targets []cell.Target) int {
	n := 0
	for _, t := range targets {
		if t.Slots > 0 {
			n += t.Slots
		} else {
			n += max(t.Capacity, 0)
		}
	}
	return n
}

// cellTargets returns the targets of one cell.
func cellTargets(k holds.CellKey, targets []cell.Target) []cell.Target {
	var out []cell.Target
	for _, t := range targets {
		if cell.IndexOf(t.ID, k.Of) == k.Cell {
			out = append(out, t)
		}
	}
	return out
}

// orderKey is the key of a cell's rendezvous order.
func orderKey(k holds.CellKey) uint64 { return routing.Hash(k.Pool + "/" + strconv.Itoa(k.Cell)) }

// standing is a node's relation to a cell, by its own view.
type standing int

const (
	// standingOwner: no node that could own the cell precedes this one.
	standingOwner standing = iota
	// standingSuccessor: all nodes before this one are suspected by the asking node.
	standingSuccessor
	// standingOther: another node owns the cell, or this node may own none.
	standingOther
)

// standingOf returns the standing of a node and, for a successor, the nodes before it, or else the
// node to ask instead, "" if none is known.
func standingOf(order []string, self string, excluded func(string) bool, suspects map[string]bool) (st standing, before []string, owner string) {
	for _, node := range order {
		switch {
		case node == self && len(before) == 0:
			return standingOwner, nil, self
		case node == self:
			return standingSuccessor, before, self
		case excluded(node):
		case suspects[node]:
			before = append(before, node)
		default:
			return standingOther, nil, node
		}
	}
	return standingOther, nil, ""
}
