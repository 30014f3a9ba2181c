package admission

import (
	"context"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
)

// Causes of a resync.
const (
	causePeriodic    = "periodic"
	causeOwnerChange = "owner_change"
)

// resyncDue sends the resyncs that are due, each to the cell's owner.
func (s *Service) resyncDue(ctx context.Context, p *plan) {
	due := s.table.DueResyncs(s.now(), func(k holds.CellKey) (cell.Holder, bool) {
		n, ok := p.owner(k)
		return holderOf(n), ok
	})
	for _, d := range due {
		s.spawn(func() { s.resync(ctx, p, d) })
	}
}

func (s *Service) resync(ctx context.Context, p *plan, d holds.DueResync) {
	m := s.table.BuildResync(d.Key, d.Owner)
	reply, err := s.sendResync(ctx, p, d, m)
	cause, result := causePeriodic, "ok"
	if d.Changed {
		cause = causeOwnerChange
	}
	switch {
	case err != nil:
		result = "failed"
		s.table.ResyncFailed(s.now(), d.Key)
	case reply.NotOwner:
		result = "not_owner"
		s.table.ResyncAnswered(s.now(), d.Owner, m, reply)
	default:
		s.table.ResyncAnswered(s.now(), d.Owner, m, reply)
	}
	s.metrics.resyncs.WithLabelValues(cause, result).Inc()
}

func (s *Service) sendResync(ctx context.Context, p *plan, d holds.DueResync, m holds.Resync) (holds.ResyncReply, error) {
	if d.Owner.Node == s.cfg.Node {
		return s.resyncOwned(m), nil
	}
	n, ok := p.inputs.view.Node(d.Owner.Node)
	if !ok {
		return holds.ResyncReply{}, errNotInView
	}
	ctx, cancel := context.WithTimeout(ctx, resyncTimeout)
	defer cancel()
	var r holds.ResyncReply
	err := s.call(ctx, n, methodResync, m, &r)
	return r, err
}

// runReleases sends ended places, collected for releaseDelay.
func (s *Service) runReleases(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.releases.Wake():
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(releaseDelay):
		}
		s.flush(ctx)
	}
}

// flush sends all queued ended places. If one is lost, the next resync corrects the owner's
// count.
func (s *Service) flush(ctx context.Context) {
	p := s.plan()
	for node, cells := range s.releases.Take() {
		n, ok := p.inputs.view.Node(node)
		if !ok {
			continue
		}
		m := holds.Release{From: s.self, Cells: cells}
		s.spawn(func() {
			if err := s.notify(ctx, n, methodRelease, m); err != nil {
				s.log.Debug("releases not sent", "node", n.ID, "err", err)
			}
		})
	}
}
