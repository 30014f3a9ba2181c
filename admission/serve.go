package admission

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/admission/wire"
	"github.com/knapweedgw/knapweedgw/peer"
)

// Methods called between nodes. Release and totals are notifications.
const (
	methodAcquire = "admission.acquire"
	methodRelease = "admission.release"
	methodResync  = "admission.resync"
	methodPull    = "admission.pull"
	methodTotals  = "admission.totals"
)

var errNotInView = errors.New("admission: the node is not in the view; it may have been replaced")

// serve registers the handlers.
func (s *Service) serve() {
	s.hub.Handle(methodAcquire, handler(s, methodAcquire, s.serveAcquire))
	s.hub.Handle(methodRelease, notice(s, methodRelease, s.serveRelease))
	s.hub.Handle(methodResync, handler(s, methodResync, s.serveResync))
	s.hub.Handle(methodPull, handler(s, methodPull, s.servePull))
	s.hub.Handle(methodTotals, notice(s, methodTotals, s.serveTotals))
}

// handler returns a peer.Handler that decodes a call for f, encodes its result and counts
// the bytes.
func handler[M, R any](s *Service, method string, f func(M) R) peer.Handler {
	return wire.Handler(s.metrics.bytes, method, func(_ context.Context, m M) (R, error) { return f(m), nil })
}

// notice returns a peer.Handler that decodes a notification for f and counts its bytes.
func notice[M any](s *Service, method string, f func(M)) peer.Handler {
	return wire.Notice(s.metrics.bytes, method, func(m M) error { f(m); return nil })
}

func (s *Service) serveAcquire(m holds.Acquire) holds.Reply {
	for _, f := range m.LeavingNodes {
		s.recordLeaving(f)
	}
	m.Region = s.cfg.Region
	return s.acquireOwned(m)
}

// acquireOwned decides an ask for a cell that this node should own.
func (s *Service) acquireOwned(m holds.Acquire) holds.Reply {
	p := s.plan()
	c, ok := s.owned.get(m.CellKey)
	if !ok {
		return s.notOwner(p, m.CellKey)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.owner.Acquire(s.now(), m)
	if r.Code == holds.Full {
		r.Least = 1 + s.totals.leastLoaded(m.CellKey)
	}
	return r
}

func (s *Service) notOwner(p *plan, k holds.CellKey) holds.Reply {
	r := holds.Reply{Code: holds.NotOwner, Leaving: s.draining.Load()}
	if n, ok := p.owner(k); ok && !p.stale(k) {
		r.Owner = n.ID
	}
	return r
}

func (s *Service) serveRelease(m holds.Release) {
	for _, e := range m.Cells {
		e.Region = s.cfg.Region
		s.releaseOwned(m.Holder(), e)
	}
}

func (s *Service) releaseOwned(h cell.Holder, e holds.EndedPlaces) {
	c, ok := s.owned.get(e.CellKey)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, sus := range c.owner.ReleaseWithResults(s.now(), h, e) {
		s.metrics.suspensions.Inc()
		s.log.Warn("target suspended", "target", sus.Target, "pool", e.Pool, "pause", sus.Pause)
	}
}

func (s *Service) serveResync(m holds.Resync) holds.ResyncReply {
	m.Region = s.cfg.Region
	return s.resyncOwned(m)
}

func (s *Service) resyncOwned(m holds.Resync) holds.ResyncReply {
	s.plan()
	c, ok := s.owned.get(m.CellKey)
	if !ok {
		return holds.ResyncReply{NotOwner: true}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner.Resync(s.now(), m)
}

func (s *Service) servePull(m holds.Pull) holds.Resync {
	m.Region = s.cfg.Region
	return s.fullResync(s.plan(), m.CellKey)
}

// fullResync returns all that a new owner needs from this node: its places in a cell, and
// the targets on which its recent chats ran.
func (s *Service) fullResync(p *plan, k holds.CellKey) holds.Resync {
	m := s.table.BuildResync(k, cell.Holder{})
	s.mu.Lock()
	defer s.mu.Unlock()
	m.Recent = s.recent.Recent(s.now(), recentMaxAge, func(target string) bool {
		_, live := p.liveTarget(k, target)
		return live && cell.IndexOf(target, k.Of) == k.Cell
	})
	return m
}
