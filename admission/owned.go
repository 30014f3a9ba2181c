package admission

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/membership"
)

// ownedCells holds the cells that this node owns.
type ownedCells struct {
	mu    sync.Mutex
	cells map[holds.CellKey]*ownedCell
}

// ownedCell is one owned cell. mu guards all its fields.
type ownedCell struct {
	mu        sync.Mutex
	owner     *holds.Owner
	deadline  time.Time // of the takeover; zero if none is in progress
	nextPull  time.Time
	notPulled []cell.Holder // holders that haven't been sent a pull yet, including those that have reported by themselves
	announcer cell.Announcer
}

func newOwned() *ownedCells { return &ownedCells{cells: make(map[holds.CellKey]*ownedCell)} }

func (o *ownedCells) get(k holds.CellKey) (*ownedCell, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c, ok := o.cells[k]
	return c, ok
}

func (o *ownedCells) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.cells)
}

func (o *ownedCells) places() int {
	n := 0
	o.each(func(_ holds.CellKey, c *ownedCell) { n += c.owner.Places() })
	return n
}

func (o *ownedCells) suspended() int {
	n := 0
	o.each(func(_ holds.CellKey, c *ownedCell) { n += c.owner.SuspendedTargets() })
	return n
}

// each calls f with every cell while holding the cell's lock.
func (o *ownedCells) each(f func(holds.CellKey, *ownedCell)) {
	o.mu.Lock()
	cells := make(map[holds.CellKey]*ownedCell, len(o.cells))
	for k, c := range o.cells {
		cells[k] = c
	}
	o.mu.Unlock()
	for k, c := range cells {
		c.mu.Lock()
		f(k, c)
		c.mu.Unlock()
	}
}

// updateOwned adds the cells that the plan assigns to this node, removes the others, and
// applies the plan's settings and targets.
func (s *Service) updateOwned(p *plan) {
	s.owned.mu.Lock()
	defer s.owned.mu.Unlock()
	mine := make(map[holds.CellKey]*ownedCell)
	for pool := range p.pools {
		for _, k := range p.keys(pool, p.region) {
			n, ok := p.owner(k)
			if !ok || n.ID != s.cfg.Node {
				continue
			}
			c := s.owned.cells[k]
			if c == nil {
				c = s.newOwnedCell(p, k)
			}
			c.apply(p, k)
			mine[k] = c
		}
	}
	s.owned.cells = mine
}

// newOwnedCell returns the record of a cell that this node begins to own. The cell waits for
// reports of all nodes of the region that may hold places.
func (s *Service) newOwnedCell(p *plan, k holds.CellKey) *ownedCell {
	s.metrics.takeovers.Inc()
	c := &ownedCell{owner: holds.NewOwner(p.pools[k.Pool].cell)}
	var holders []cell.Holder
	for _, n := range p.inputs.view.Nodes {
		if n.Region == p.region && n.State != membership.Dead {
			holders = append(holders, holderOf(n))
		}
	}
	c.owner.Takeover(holders)
	c.notPulled = holders
	return c
}

func (c *ownedCell) apply(p *plan, k holds.CellKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner.Configure(p.pools[k.Pool].cell)
	c.owner.SetTargets(p.cellTargets(k))
}

// tickOwned continues takeovers and gives each owned cell the load of the pool's other
// cells.
func (s *Service) tickOwned(ctx context.Context, p *plan, now time.Time) {
	var pulls []func()
	s.owned.each(func(k holds.CellKey, c *ownedCell) {
		c.owner.Tick(now)
		c.owner.SetOthers(s.othersOf(p, k, now))
		for _, h := range c.advanceTakeover(now) {
			pulls = append(pulls, func() { s.pull(ctx, p, k, c, h) })
		}
	})
	for _, f := range pulls {
		s.spawn(f)
	}
	s.recordOwnTotals(now)
}

// advanceTakeover ends a takeover whose deadline has passed, and returns the holders to ask
// for their places now. Each holder is asked once even if it has reported before, since only
// the answer to a pull lists where chats ran.
func (c *ownedCell) advanceTakeover(now time.Time) []cell.Holder {
	if len(c.notPulled) > 0 {
		first := c.notPulled
		c.notPulled = nil
		c.deadline, c.nextPull = now.Add(takeoverTimeout), now.Add(pullInterval)
		return first
	}
	waiting := c.owner.Waiting()
	if len(waiting) == 0 {
		c.deadline = time.Time{}
		return nil
	}
	if c.deadline.IsZero() { // the cell began a takeover by itself after a pause of the process
		c.deadline, c.nextPull = now.Add(takeoverTimeout), now
	}
	if !now.Before(c.deadline) {
		c.owner.EndTakeover()
		c.deadline = time.Time{}
		return nil
	}
	if now.Before(c.nextPull) {
		return nil
	}
	c.nextPull = now.Add(pullInterval)
	return waiting
}

// pull asks a holder for its places and records them.
func (s *Service) pull(ctx context.Context, p *plan, k holds.CellKey, c *ownedCell, h cell.Holder) {
	m, err := s.fetchPlaces(ctx, p, k, h)
	if err != nil {
		s.log.Debug("pull failed", "node", h.Node, "pool", k.Pool, "cell", k.Cell, "err", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := s.now()
	c.owner.Resync(now, m)
	c.owner.MergeRecent(now, m.Recent)
	c.owner.EndWait(h)
}

func (s *Service) fetchPlaces(ctx context.Context, p *plan, k holds.CellKey, h cell.Holder) (holds.Resync, error) {
	if h.Node == s.cfg.Node {
		return s.fullResync(p, k), nil
	}
	n, ok := p.inputs.view.Node(h.Node)
	if !ok {
		return holds.Resync{}, errNotInView
	}
	ctx, cancel := context.WithTimeout(ctx, resyncTimeout)
	defer cancel()
	var m holds.Resync
	err := s.call(ctx, n, methodPull, holds.Pull{From: s.self, CellKey: k}, &m)
	m.Region = k.Region
	return m, err
}
