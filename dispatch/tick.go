package dispatch

import (
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
)

// beginTakeover begins to collect the places of all nodes. The cell's lock must be held.
func (s *Service) beginTakeover(c *ownedCell, cause string) {
	now := s.now()
	nodes := append(s.fleet.LiveAddresses(), s.self.Node)
	if cause == causePause { // the view may be empty after a pause
		c.record.Tick(now)
		for _, h := range c.record.Waiting() {
			if !slices.Contains(nodes, h.Node) {
				nodes = append(nodes, h.Node)
			}
		}
	}
	c.takeover, c.lastTick = newTakeover(now, nodes), now
	c.bySuccessor = cause == causeSuspicion
	s.metrics.takeovers.WithLabelValues(cause).Inc()
	s.log.Info("takeover begins", "service", c.key.Pool, "cell", c.key.Cell, "cause", cause, "nodes", len(nodes))
	s.refreshTargets(c, now)
}

// continueTakeover asks the nodes that are due for their places.
func (s *Service) continueTakeover(c *ownedCell) {
	c.mu.Lock()
	var due []string
	if c.takeover != nil && c.closed == nil {
		now := s.now()
		for _, n := range s.fleet.LiveAddresses() {
			c.takeover.add(n, now)
		}
		due = c.takeover.due(now)
		s.advanceTakeover(c, now)
	}
	c.mu.Unlock()
	for _, node := range due {
		s.spawn(func() { s.pull(c, node) })
	}
}

// advanceTakeover lets the cell grant places once enough nodes have answered, and ends a takeover
// that is complete. The cell's lock must be held.
func (s *Service) advanceTakeover(c *ownedCell, now time.Time) {
	t := c.takeover
	if t == nil {
		return
	}
	if ok, holders, kept := t.begin(now); ok {
		c.record.Takeover(holders)
		c.applyPlaces(now, kept)
	}
	if t.ended(now) {
		c.record.EndTakeover()
		c.takeover = nil
		s.log.Info("takeover ended", "service", c.key.Pool, "cell", c.key.Cell,
			"answered", len(t.answered), "silent", len(t.pending), "places", c.record.Places(), "took", now.Sub(t.began))
	}
}

// tickOwned does the periodic work of the owned cells.
func (s *Service) tickOwned(now time.Time) {
	if !now.Before(s.nextClaim) {
		s.nextClaim = now.Add(ownInterval)
		s.claimCells()
	}
	for _, c := range s.owned.all() {
		if reply, owner := s.stillOwner(c, now); !owner {
			s.owned.remove(c, reply)
			s.log.Info("cell handed over", "service", c.key.Pool, "cell", c.key.Cell, "owner", reply.Owner)
			continue
		}
		s.tickCell(c, now)
		s.continueTakeover(c)
	}
}

// claimCells takes over the cells in whose order this node is the first.
func (s *Service) claimCells() {
	if s.leaving.Load() {
		return
	}
	for _, service := range s.directory.Services() {
		targets, dispatched := s.directory.Targets(service)
		if !dispatched {
			continue
		}
		of := s.cellsOf(service, targets)
		for i := range of {
			k := holds.CellKey{Pool: service, Cell: i, Of: of}
			if st, _, _ := s.standing(k, nil); st == standingOwner {
				s.own(k, causeOrder)
			}
		}
	}
}

// stillOwner reports whether this node still owns a cell, or else the reply to further asks. A
// successor checks periodically whether a node before it answers again.
func (s *Service) stillOwner(c *ownedCell, now time.Time) (holds.Reply, bool) {
	if !s.ownable(c.key) {
		return holds.Reply{Code: holds.NotOwner}, false
	}
	st, _, owner := s.standing(c.key, nil)
	if st == standingOwner {
		return holds.Reply{}, true
	}
	s.owned.mu.Lock()
	sn := s.owned.successions[c.key]
	owns, check, patience := false, false, time.Duration(0)
	if sn != nil {
		owns, patience = sn.owns(now), sn.patience
		check = owns && sn.checkDue(now)
		if !owns && !sn.checking && now.Sub(sn.askedAt) > successionTTL {
			delete(s.owned.successions, c.key)
		}
	}
	s.owned.mu.Unlock()
	if check {
		s.spawn(func() { s.check(c.key, sn, s.before(c.key), patience) })
	}
	return holds.Reply{Code: holds.NotOwner, Owner: owner}, owns
}

// before returns the nodes before this one in a cell's order.
func (s *Service) before(k holds.CellKey) []string {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, n := range s.order(k, now) {
		if n == s.self.Node {
			return out
		}
		if !s.states.excluded(n, now) {
			out = append(out, n)
		}
	}
	return out
}

// tickCell updates one owned cell.
func (s *Service) tickCell(c *ownedCell, now time.Time) {
	c.mu.Lock()
	if c.closed != nil {
		c.mu.Unlock()
		return
	}
	if now.Sub(c.lastTick) > maxPause {
		s.beginTakeover(c, causePause)
	}
	c.lastTick = now
	c.record.Tick(now)
	s.refreshTargets(c, now)
	if !now.Before(c.nextExpiry) {
		c.nextExpiry = now.Add(expiryInterval)
		c.record.Expire(now.Add(-silentIntervals*resyncInterval), s.isDead)
	}
	c.dropAbandoned(now)
	rivals := s.updateRivals(c, now)
	claim := (len(rivals) > 0 || c.bySuccessor) && c.takeover == nil && !now.Before(c.nextClaim)
	if claim {
		c.nextClaim = now.Add(claimInterval)
	}
	c.settleUnlessRecovering(now)
	c.mu.Unlock()
	if !claim {
		return
	}
	for _, node := range s.claimed(rivals) {
		s.spawn(func() { s.pull(c, node) })
	}
}

// claimed returns the nodes that are told again that this node owns a cell: all live ones, so that
// those that ask another owner name this one to it, and the rivals.
func (s *Service) claimed(rivals []holds.From) []string {
	nodes := s.fleet.LiveAddresses()
	for _, r := range rivals {
		if !slices.Contains(nodes, r.Node) {
			nodes = append(nodes, r.Node)
		}
	}
	return nodes
}

// updateRivals sets the share of the places that the cell grants, and returns its rivals. The
// cell's lock must be held.
func (s *Service) updateRivals(c *ownedCell, now time.Time) []holds.From {
	s.mu.Lock()
	rivals := s.claims.others(c.key, s.self.Node, now)
	for _, r := range s.reported.others(c.key, s.self.Node, now) {
		if !slices.ContainsFunc(rivals, func(f holds.From) bool { return f.Node == r.Node }) {
			rivals = append(rivals, r)
		}
	}
	s.mu.Unlock()
	share := 1.0
	if len(rivals) > 0 || s.maybeSplit() {
		share = rivalShare
	}
	if share != c.share {
		s.log.Warn("share of the places changed", "service", c.key.Pool, "cell", c.key.Cell, "share", share, "rivals", rivals)
		c.record.SetShare(share)
	}
	c.rivals, c.share = len(rivals), share
	return rivals
}

// maybeSplit reports whether at most half of the nodes of the last minute are live. The others may
// then be behind a partition of the network, with an owner that no message tells of.
func (s *Service) maybeSplit() bool {
	return 2*(len(s.fleet.LiveAddresses())+1) <= s.fleet.FleetSize()
}

// recordRivals records the nodes that an asking node knows to own the cell.
func (s *Service) recordRivals(c *ownedCell, rivals []holds.From) {
	if len(rivals) == 0 {
		return
	}
	now := s.now()
	s.mu.Lock()
	for _, r := range rivals {
		if r.Node != s.self.Node && validFrom(r) {
			s.reported.add(c.key, r, now)
		}
	}
	s.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed == nil {
		s.updateRivals(c, now)
	}
}

// refreshTargets gives the cell the present targets and their requests outside. The cell's lock
// must be held.
func (s *Service) refreshTargets(c *ownedCell, now time.Time) {
	all, _ := s.directory.Targets(c.key.Pool)
	targets := cellTargets(c.key, all)
	if !c.recovering() {
		known := make(map[string]int)
		for _, l := range c.record.Targets() {
			known[l.ID] = l.InFlight
		}
		for i, t := range targets {
			others := known[t.ID] - s.ownPlaces.at(c.key.Pool, t.ID)
			c.outside.observe(t.ID, now, s.directory.CountedRunning(c.key.Pool, t.ID), others)
			targets[i].Outside = c.outside.at(t.ID, now)
		}
	}
	c.outside.keep(func(id string) bool {
		return slices.ContainsFunc(targets, func(t cell.Target) bool { return t.ID == id })
	})
	if !slices.Equal(targets, c.targets) {
		c.targets = targets
		c.record.SetTargets(targets)
	}
}

// isDead reports whether a holder's node is gone by the heartbeats. Nothing is known just after a
// pause of this process, nor of a node whose heartbeats haven't arrived yet.
func (s *Service) isDead(h cell.Holder) bool {
	if h.Node == s.self.Node || s.fleet.IsLive(h.Node) {
		return false
	}
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.messages[h.Node]; ok && now.Sub(at) <= recentMessage {
		return false
	}
	return s.resumed.IsZero() || now.Sub(s.resumed) > viewSettles
}
