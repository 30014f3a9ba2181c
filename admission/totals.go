package admission

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/membership"
)

// totalsMaxAge is the age beyond which the totals of a cell aren't used.
const totalsMaxAge = 3 * cell.DefaultMaxInterval

// totals has the load of all cells as last announced by their owners.
type totals struct {
	mu    sync.Mutex
	seq   uint64
	cells map[holds.CellKey]receivedTotals
}

type receivedTotals struct {
	from holds.From
	seq  uint64
	at   time.Time
	load cell.Totals
}

func newTotals() *totals { return &totals{cells: make(map[holds.CellKey]receivedTotals)} }

// record stores an announcement unless a newer one from the same node is stored.
func (t *totals) record(k holds.CellKey, h receivedTotals) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.cells[k]
	sameNode := ok && old.from.Node == h.from.Node
	if sameNode && (old.from.Incarnation > h.from.Incarnation || old.from == h.from && old.seq >= h.seq) {
		return
	}
	t.cells[k] = h
}

// others returns the total load of the pool's other cells, as far as it was announced within
// totalsMaxAge.
func (t *totals) others(keys []holds.CellKey, self holds.CellKey, now time.Time) cell.Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum cell.Totals
	for _, k := range keys {
		h, ok := t.cells[k]
		if k == self || !ok || now.Sub(h.at) > totalsMaxAge {
			continue
		}
		sum.InFlight += h.load.InFlight
		sum.Capacity += h.load.Capacity
	}
	return sum
}

// leastLoaded returns the pool's cell, other than k, with the least load for its capacity,
// or -1 if none was announced.
func (t *totals) leastLoaded(k holds.CellKey) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, bestLoad := -1, 0.0
	for other, h := range t.cells {
		if other.Pool != k.Pool || other.Region != k.Region || other.Of != k.Of || other == k || h.load.Capacity == 0 {
			continue
		}
		load := float64(h.load.InFlight) / float64(h.load.Capacity)
		if best < 0 || load < bestLoad || load == bestLoad && other.Cell < best {
			best, bestLoad = other.Cell, load
		}
	}
	return best
}

func (t *totals) nextSeq() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	return t.seq
}

func (s *Service) othersOf(p *plan, k holds.CellKey, now time.Time) cell.Totals {
	return s.totals.others(p.keys(k.Pool, k.Region), k, now)
}

// recordOwnTotals stores the totals of this node's cells, so that they count in the load of
// its other cells.
func (s *Service) recordOwnTotals(now time.Time) {
	seq := s.totals.nextSeq()
	s.owned.each(func(k holds.CellKey, c *ownedCell) {
		if c.owner.Recovering() {
			return
		}
		s.totals.record(k, receivedTotals{from: s.self, seq: seq, at: now, load: c.owner.Totals()})
	})
}

// sendTotals announces the load of the owned cells whose announcement is due to the owners
// of the pool's other cells.
func (s *Service) sendTotals(ctx context.Context, p *plan, now time.Time) {
	byNode := make(map[string]*holds.Totals)
	s.owned.each(func(k holds.CellKey, c *ownedCell) {
		load := c.owner.Totals()
		if c.owner.Recovering() || !c.announcer.Due(now, load) {
			return
		}
		for _, n := range s.otherOwners(p, k) {
			if byNode[n.ID] == nil {
				byNode[n.ID] = &holds.Totals{From: s.self}
			}
			m := byNode[n.ID]
			m.Cells = append(m.Cells, holds.CellTotals{CellKey: k, InFlight: load.InFlight, Capacity: load.Capacity})
		}
	})
	seq := s.totals.nextSeq()
	for id, m := range byNode {
		m.Seq = seq
		n, _ := p.inputs.view.Node(id)
		s.spawn(func() {
			if err := s.notify(ctx, n, methodTotals, m); err != nil {
				s.log.Debug("totals not sent", "node", n.ID, "err", err)
			}
		})
	}
}

// otherOwners returns the other nodes that own cells of the pool.
func (s *Service) otherOwners(p *plan, k holds.CellKey) []membership.Node {
	seen := map[string]bool{s.cfg.Node: true}
	var out []membership.Node
	for _, other := range p.keys(k.Pool, k.Region) {
		if n, ok := p.owner(other); ok && !seen[n.ID] {
			seen[n.ID] = true
			out = append(out, n)
		}
	}
	return out
}

// serveTotals stores the announced load of cells that the sender owns in this node's view.
func (s *Service) serveTotals(m holds.Totals) {
	p := s.plan()
	now := s.now()
	for _, c := range m.Cells {
		c.Region = s.cfg.Region
		if n, ok := p.owner(c.CellKey); !ok || n.ID != m.Node {
			continue
		}
		load := cell.Totals{InFlight: c.InFlight, Capacity: c.Capacity}
		s.totals.record(c.CellKey, receivedTotals{from: m.From, seq: m.Seq, at: now, load: load})
	}
}
