package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/admission/wire"
	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/peer"
)

// Causes of a resync.
const (
	causePeriodic    = "periodic"
	causeOwnerChange = "owner_change"
)

func (s *Service) call(ctx context.Context, node, method string, params, result any) error {
	return wire.Call(ctx, s.net, s.metrics.bytes, node, method, params, result)
}

// methodMissing reports whether a call failed since the node runs a release without its method.
func methodMissing(err error) bool {
	var remote *jsonrpc2.Error
	return errors.As(err, &remote) && remote.Code == jsonrpc2.CodeMethodNotFound
}

// failureReason returns the reason of a failed ask, and whether the node didn't answer.
func failureReason(err error) (reason string, unanswered bool) {
	var remote *jsonrpc2.Error
	switch {
	case errors.Is(err, peer.ErrBusy):
		return reasonBusy, false
	case errors.As(err, &remote):
		return reasonFailed, false
	case errors.Is(err, peer.ErrUnreachable):
		return reasonUnreachable, true
	case errors.Is(err, context.DeadlineExceeded):
		return reasonTimeout, true
	default:
		return reasonFailed, true
	}
}

// resyncDue sends the resyncs that are due, each to the cell's owner.
func (s *Service) resyncDue(ctx context.Context) {
	due := s.table.DueResyncs(s.now(), func(k holds.CellKey) (cell.Holder, bool) {
		owner := s.ownerOf(k)
		return cell.Holder{Node: owner}, owner != ""
	})
	for _, d := range due {
		s.spawn(func() { s.resync(ctx, d) })
	}
}

func (s *Service) resync(ctx context.Context, d holds.DueResync) {
	m := s.table.BuildResync(d.Key, d.Owner)
	var reply holds.ResyncReply
	var err error
	if d.Owner.Node == s.self.Node {
		reply = s.resyncOwned(m)
	} else {
		ctx, cancel := context.WithTimeout(ctx, resyncTimeout)
		defer cancel()
		err = s.call(ctx, d.Owner.Node, methodResync, m, &reply)
	}
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

// runReleases sends ended places that no ask has reported within releaseDelay.
func (s *Service) runReleases(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.ended.Wake():
		}
		pause.Sleep(ctx, releaseDelay)
		s.flush(ctx)
	}
}

// flush sends all queued ended places. If a message is lost, the next resync corrects the owner's
// count.
func (s *Service) flush(ctx context.Context) *sync.WaitGroup {
	sent := &sync.WaitGroup{}
	for node, cells := range s.ended.Take() {
		sent.Add(1)
		s.spawn(func() {
			defer sent.Done()
			ctx, cancel := context.WithTimeout(ctx, resyncTimeout)
			defer cancel()
			m := holds.Release{From: s.self, Cells: cells}
			if err := wire.Notify(ctx, s.net, s.metrics.bytes, node, methodRelease, m); err != nil {
				s.log.Debug("releases not sent", "node", node, "err", err)
			}
		})
	}
	return sent
}

// probe asks the nodes whether they answer and returns one that does, "" if none does. A node
// without this package can't own cells, so it doesn't count as one that answers.
func (s *Service) probe(nodes []string, timeout time.Duration) string {
	answers := make(chan string, len(nodes))
	for _, node := range nodes {
		s.spawn(func() {
			ctx, cancel := context.WithTimeout(s.work, timeout)
			defer cancel()
			var m holds.Resync
			err := s.call(ctx, node, methodPull, holds.Pull{From: s.self}, &m)
			switch {
			case err == nil:
				answers <- node
				return
			case methodMissing(err):
				s.mu.Lock()
				s.states.recordIncapable(node, s.now())
				s.mu.Unlock()
			}
			answers <- ""
		})
	}
	for range nodes {
		if node := <-answers; node != "" {
			return node
		}
	}
	return ""
}

// pull asks a node for its places in a cell, which tells it that this node owns the cell, and
// records them.
func (s *Service) pull(c *ownedCell, node string) {
	m := s.table.BuildResync(c.key, cell.Holder{})
	if node != s.self.Node {
		ctx, cancel := context.WithTimeout(s.work, takeoverTimeout)
		defer cancel()
		m = holds.Resync{}
		err := s.call(ctx, node, methodPull, holds.Pull{From: s.self, CellKey: c.key}, &m)
		m.CellKey = c.key
		switch {
		case methodMissing(err): // it holds no places
			m = holds.Resync{From: holds.From{Node: node}, CellKey: c.key}
		case err == nil && m.Node == node && validResync(m):
		default:
			s.log.Debug("pull failed", "node", node, "service", c.key.Pool, "cell", c.key.Cell, "err", err)
			return
		}
	}
	s.receivePlaces(c, m)
}

// receivePlaces records the answer to a pull.
func (s *Service) receivePlaces(c *ownedCell, m holds.Resync) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed != nil {
		return
	}
	now := s.now()
	apply := []holds.Resync{m}
	if c.takeover != nil {
		apply = c.takeover.receive(m)
	}
	c.applyPlaces(now, apply)
	s.advanceTakeover(c, now)
	c.settleUnlessRecovering(now)
}

func (c *ownedCell) applyPlaces(now time.Time, resyncs []holds.Resync) {
	for _, m := range resyncs {
		c.record.Resync(now, m)
		if c.takeover == nil || c.takeover.answered[m.Node] {
			c.record.EndWait(unknownRun(m.Node))
		}
	}
}
