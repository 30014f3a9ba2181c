package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
)

const (
	// endTimeout is how long a call to record outcomes may take.
	endTimeout = 3 * time.Second
	// endWait is how long an owner may hold such a call.
	endWait = 2 * time.Second
)

// push queues an outcome for its owner.
func (s *Service) push(e core.End) {
	s.mu.Lock()
	ok := s.ends.Push(e)
	s.metrics.pending.Set(float64(s.ends.Len()))
	s.mu.Unlock()
	if !ok {
		s.metrics.ends.WithLabelValues("dropped").Inc()
		return
	}
	s.nudge()
}

func (s *Service) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// sendEnds passes the outcomes to their owners until ctx ends.
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
		s.sleep(ctx, at)
	}
}

func (s *Service) sleep(ctx context.Context, until core.Instant) {
	timer := time.NewTimer(until - s.now())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.wake:
	case <-ctx.Done():
	}
}

func (s *Service) sendBatch(ctx context.Context, shard int, batch []core.End) {
	ok := s.tell(ctx, shard, batch)
	result := "recorded"
	if !ok {
		result = "retried"
	}
	s.metrics.ends.WithLabelValues(result).Add(float64(len(batch)))
	s.mu.Lock()
	s.ends.Sent(s.now(), shard, ok, rand.Float64())
	s.metrics.pending.Set(float64(s.ends.Len()))
	s.mu.Unlock()
	s.nudge()
}

// tell calls a shard's owner and reports whether it recorded the outcomes.
func (s *Service) tell(ctx context.Context, shard int, batch []core.End) bool {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	node, ok := s.duties.pick(shard, 0)
	if !ok || node.ID == s.self.Node {
		return s.record(ctx, shard, batch)
	}
	var r endResult
	err := s.peers.Call(ctx, node.PeerAddr, methodEnd, endParams{shard, batch}, &r)
	if err != nil {
		s.duties.failed(node.ID)
		s.metrics.retries.WithLabelValues(methodEnd, callFailure(err)).Inc()
		return false
	}
	if !r.Recorded {
		s.metrics.retries.WithLabelValues(methodEnd, reasonStore).Inc()
	}
	return r.Recorded
}

// record writes outcomes as the shard's owner; all must be kept.
func (s *Service) record(ctx context.Context, shard int, batch []core.End) bool {
	var wg sync.WaitGroup
	kept := make([]bool, len(batch))
	for i, e := range batch {
		wg.Go(func() {
			r, err := s.owners[shard].end(ctx, e, endWait)
			kept[i] = err == nil && r.Status == core.Recorded
		})
	}
	wg.Wait()
	for _, ok := range kept {
		if !ok {
			return false
		}
	}
	return true
}
