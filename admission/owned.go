package admission

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/membership"
)

// owned is the cells that this node owns.
type owned struct {
	mu    sync.Mutex
	cells map[holds.Key]*ownedCell
}

// ownedCell is one cell; mu guards all of it.
type ownedCell struct {
	mu        sync.Mutex
	owner     *holds.Owner
	deadline  time.Time // of the takeover; zero if none goes on
	nextPull  time.Time
	unasked   []cell.Holder // not pulled from yet, heard or not
	announcer cell.Announcer
}

func newOwned() *owned { return &owned{cells: make(map[holds.Key]*ownedCell)} }

func (o *owned) get(k holds.Key) (*ownedCell, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c, ok := o.cells[k]
	return c, ok
}

func (o *owned) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.cells)
}

func (o *owned) places() int {
	n := 0
	o.each(func(_ holds.Key, c *ownedCell) { n += c.owner.Places() })
	return n
}

func (o *owned) suspended() int {
	n := 0
	o.each(func(_ holds.Key, c *ownedCell) { n += c.owner.SuspendedTargets() })
	return n
}

// each calls f with every cell, locked.
func (o *owned) each(f func(holds.Key, *ownedCell)) {
	o.mu.Lock()
	cells := make(map[holds.Key]*ownedCell, len(o.cells))
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

// ownPlanned takes the cells that the plan gives to this node, drops the
// others, and puts settings and targets in force.
func (s *Service) ownPlanned(p *plan) {
	s.owned.mu.Lock()
	defer s.owned.mu.Unlock()
	mine := make(map[holds.Key]*ownedCell)
	for pool := range p.pools {
		for _, k := range p.keys(pool, p.region) {
			n, ok := p.owner(k)
			if !ok || n.ID != s.cfg.Node {
				continue
			}
			c := s.owned.cells[k]
			if c == nil {
				c = s.take(p, k)
			}
			c.apply(p, k)
			mine[k] = c
		}
	}
	s.owned.cells = mine
}

// take returns the record of a cell new to this node. Every node of the region
// that may hold places is to be heard.
func (s *Service) take(p *plan, k holds.Key) *ownedCell {
	s.metrics.takeovers.Inc()
	c := &ownedCell{owner: holds.NewOwner(p.pools[k.Pool].cell)}
	var holders []cell.Holder
	for _, n := range p.inputs.view.Nodes {
		if n.Region == p.region && n.State != membership.Dead {
			holders = append(holders, holderOf(n))
		}
	}
	c.owner.Takeover(holders)
	c.unasked = holders
	return c
}

func (c *ownedCell) apply(p *plan, k holds.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner.Configure(p.pools[k.Pool].cell)
	c.owner.SetTargets(p.cellTargets(k))
}

// tendOwned goes on with takeovers and refreshes what the cells know of each
// other.
func (s *Service) tendOwned(ctx context.Context, p *plan, now time.Time) {
	var pulls []func()
	s.owned.each(func(k holds.Key, c *ownedCell) {
		c.owner.Tick(now)
		c.owner.SetOthers(s.othersOf(p, k, now))
		for _, h := range c.advance(now) {
			pulls = append(pulls, func() { s.pull(ctx, p, k, c, h) })
		}
	})
	for _, f := range pulls {
		s.spawn(f)
	}
	s.noteOwnTotals(now)
}

// advance ends a takeover whose time is over and returns the holders to ask
// for their places now. Each is asked once even if it was heard before, since
// only the answer to a pull says where chats ran.
func (c *ownedCell) advance(now time.Time) []cell.Holder {
	if len(c.unasked) > 0 {
		first := c.unasked
		c.unasked = nil
		c.deadline, c.nextPull = now.Add(takeoverTime), now.Add(pullInterval)
		return first
	}
	waiting := c.owner.Waiting()
	if len(waiting) == 0 {
		c.deadline = time.Time{}
		return nil
	}
	if c.deadline.IsZero() { // the cell found that it was paused
		c.deadline, c.nextPull = now.Add(takeoverTime), now
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
func (s *Service) pull(ctx context.Context, p *plan, k holds.Key, c *ownedCell, h cell.Holder) {
	m, err := s.fetch(ctx, p, k, h)
	if err != nil {
		s.log.Debug("places not told", "node", h.Node, "pool", k.Pool, "cell", k.Cell, "err", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := s.now()
	c.owner.Resync(now, m)
	c.owner.MergeRecent(now, m.Recent)
	c.owner.EndWait(h)
}

func (s *Service) fetch(ctx context.Context, p *plan, k holds.Key, h cell.Holder) (holds.Resync, error) {
	if h.Node == s.cfg.Node {
		return s.account(p, k), nil
	}
	n, ok := p.inputs.view.Node(h.Node)
	if !ok {
		return holds.Resync{}, errNotInView
	}
	ctx, cancel := context.WithTimeout(ctx, resyncTimeout)
	defer cancel()
	var m holds.Resync
	err := s.call(ctx, n, methodPull, holds.Pull{From: s.self, Key: k}, &m)
	m.Region = k.Region
	return m, err
}
