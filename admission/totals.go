package admission

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/membership"
)

// totalsMaxAge is the age from which the totals of a cell no longer count.
const totalsMaxAge = 3 * cell.DefaultQuiet

// totals is the load of all cells as their owners last told it.
type totals struct {
	mu    sync.Mutex
	seq   uint64
	cells map[holds.Key]heardTotals
}

type heardTotals struct {
	from holds.From
	seq  uint64
	at   time.Time
	load cell.Totals
}

func newTotals() *totals { return &totals{cells: make(map[holds.Key]heardTotals)} }

// note records an owner's word unless a newer one of the same owner is known.
func (t *totals) note(k holds.Key, h heardTotals) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.cells[k]
	sameNode := ok && old.from.Node == h.from.Node
	if sameNode && (old.from.Incarnation > h.from.Incarnation || old.from == h.from && old.seq >= h.seq) {
		return
	}
	t.cells[k] = h
}

// others returns the load of the pool's other cells that is known.
func (t *totals) others(keys []holds.Key, self holds.Key, now time.Time) cell.Totals {
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

// least returns the pool's cell with the least load for its capacity, or -1 if
// no other than k is known.
func (t *totals) least(k holds.Key) int {
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

func (s *Service) othersOf(p *plan, k holds.Key, now time.Time) cell.Totals {
	return s.totals.others(p.keys(k.Pool, k.Region), k, now)
}

// noteOwnTotals lets the cells of this node know each other's load.
func (s *Service) noteOwnTotals(now time.Time) {
	seq := s.totals.nextSeq()
	s.owned.each(func(k holds.Key, c *ownedCell) {
		if c.owner.Recovering() {
			return
		}
		s.totals.note(k, heardTotals{from: s.self, seq: seq, at: now, load: c.owner.Totals()})
	})
}

// sendTotals tells the owners of a pool's other cells the load of the cells
// owned here that changed.
func (s *Service) sendTotals(ctx context.Context, p *plan, now time.Time) {
	byNode := make(map[string]*holds.Totals)
	s.owned.each(func(k holds.Key, c *ownedCell) {
		load := c.owner.Totals()
		if c.owner.Recovering() || !c.announcer.Due(now, load) {
			return
		}
		for _, n := range s.otherOwners(p, k) {
			if byNode[n.ID] == nil {
				byNode[n.ID] = &holds.Totals{From: s.self}
			}
			m := byNode[n.ID]
			m.Cells = append(m.Cells, holds.CellTotals{Key: k, InFlight: load.InFlight, Capacity: load.Capacity})
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
func (s *Service) otherOwners(p *plan, k holds.Key) []membership.Node {
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

// serveTotals records the load of cells, if the sender owns them in this
// node's view.
func (s *Service) serveTotals(m holds.Totals) {
	p := s.plan()
	now := s.now()
	for _, c := range m.Cells {
		c.Region = s.cfg.Region
		if n, ok := p.owner(c.Key); !ok || n.ID != m.Node {
			continue
		}
		load := cell.Totals{InFlight: c.InFlight, Capacity: c.Capacity}
		s.totals.note(c.Key, heardTotals{from: m.From, seq: m.Seq, at: now, load: load})
	}
}
