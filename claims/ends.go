package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
)

const (
	// endTimeout is the timeout of a call to record outcomes.
	endTimeout = 3 * time.Second
	// endWait is how long the owner waits for the outcomes to be recorded.
	endWait = 2 * time.Second
)

// queueEnd queues an outcome to be sent to the owner of its shard.
func (s *Service) queueEnd(e core.OutcomeRecord) {
	s.mu.Lock()
	ok := s.ends.Push(e)
	s.metrics.pending.Set(float64(s.ends.Len()))
	s.mu.Unlock()
	if !ok {
		s.metrics.ends.WithLabelValues("dropped").Inc()
		return
	}
	s.wakeUp()
}

func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// sendEnds sends the queued outcomes to the owners of their shards until ctx ends.
func (s *Service) sendEnds(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		shard, batch, ok := s.ends.Next(s.now())
		at := s.ends.WakeAt()
		s.mu.Unlock()
		if ok {
			go s.sendBatch(ctx, shard, batch)
			continue
		}
		s.waitUntil(ctx, at)
	}
}

func (s *Service) waitUntil(ctx context.Context, until core.Instant) {
	timer := time.NewTimer(until - s.now())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.wake:
	case <-ctx.Done():
	}
}

func (s *Service) sendBatch(ctx context.Context, shard int, batch []core.OutcomeRecord) {
	ok := s.sendToOwner(ctx, shard, batch)
	result := "recorded"
	if !ok {
		result = "retried"
	}
	s.metrics.ends.WithLabelValues(result).Add(float64(len(batch)))
	s.mu.Lock()
	s.ends.Sent(s.now(), shard, ok, rand.Float64())
	s.metrics.pending.Set(float64(s.ends.Len()))
	s.mu.Unlock()
	s.wakeUp()
}

// sendToOwner sends outcomes to the owner of a shard and reports whether it recorded all
// of them.
func (s *Service) sendToOwner(ctx context.Context, shard int, batch []core.OutcomeRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	node, ok := s.selector.pick(shard, 0)
	if !ok || node.ID == s.self.Node {
		return s.recordAsOwner(ctx, shard, batch)
	}
	var r endResult
	err := s.peers.Call(ctx, node.PeerAddr, methodEnd, endParams{shard, batch}, &r)
	if err != nil {
		s.selector.markFailed(node.ID)
		s.metrics.retries.WithLabelValues(methodEnd, callFailure(err)).Inc()
		return false
	}
	if !r.Recorded {
		s.metrics.retries.WithLabelValues(methodEnd, reasonStore).Inc()
	}
	return r.Recorded
}

// recordAsOwner records outcomes as an owner of the shard and reports whether all of them
// are recorded.
func (s *Service) recordAsOwner(ctx context.Context, shard int, batch []core.OutcomeRecord) bool {
	var wg sync.WaitGroup
	recorded := make([]bool, len(batch))
	for i, e := range batch {
		wg.Go(func() {
			r, err := s.owners[shard].end(ctx, e, endWait)
			recorded[i] = err == nil && r.Status == core.Recorded
		})
	}
	wg.Wait()
	for _, ok := range recorded {
		if !ok {
			return false
		}
	}
	return true
}
