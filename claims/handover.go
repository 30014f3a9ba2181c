package claims

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/pause"
)

const (
	// handoverCalls is the number of calls in progress at most.
	handoverCalls = 8
	// inheritTimeout bounds one call to an heir.
	inheritTimeout = 1500 * time.Millisecond
	// handoverRounds is how often heirs that gave no reply are asked.
	handoverRounds = 3
	// handoverPause is the least time between the rounds; jitter adds up to as
	// much again.
	handoverPause = 100 * time.Millisecond
)

// What became of answers that were to be handed over, as metric labels.
const (
	handedOver   = "handed_over"
	handedNoHeir = "no_heir"
	handedLate   = "time_over"
)

// handOver passes the kept answers on to other nodes until ctx ends.
func (s *Service) handOver(ctx context.Context) {
	s.answers.close()
	ranked := newRanking(s.duties.view.View(), membership.Suspect)
	work := make(chan answerBatch)
	var lost atomic.Int64
	var calls sync.WaitGroup
	for range handoverCalls {
		calls.Go(func() {
			for b := range work {
				result := s.handBatch(ctx, ranked.heirs(b.group, s.self.Node), b)
				s.metrics.handed.WithLabelValues(result).Add(float64(len(b.answers)))
				if result != handedOver {
					lost.Add(int64(len(b.answers)))
				}
			}
		})
	}
	now := s.now()
	for _, b := range batches(now, s.answers.all(now)) {
		work <- b
	}
	close(work)
	calls.Wait()
	if n := lost.Load(); n > 0 {
		s.log.Warn("claims: stopped with answers that no node inherited; repeats of their keys are told so", "answers", n)
	}
}

// handBatch offers a batch to heirs until one keeps it, and returns what became
// of it. Those that gave no reply are asked again.
func (s *Service) handBatch(ctx context.Context, heirs []membership.Node, b answerBatch) string {
	for range handoverRounds {
		kept, silent := s.offer(ctx, heirs, b)
		switch {
		case kept:
			return handedOver
		case ctx.Err() != nil:
			return handedLate
		case len(silent) == 0:
			return handedNoHeir
		}
		heirs = silent
		pause.Sleep(ctx, jitter(handoverPause))
	}
	return handedNoHeir
}

// offer asks each heir in turn until one keeps the batch or ctx ends. It
// returns those that gave no reply.
func (s *Service) offer(ctx context.Context, heirs []membership.Node, b answerBatch) (kept bool, silent []membership.Node) {
	for _, heir := range heirs {
		if ctx.Err() != nil {
			return false, silent
		}
		r, err := s.callInherit(ctx, heir, b)
		switch {
		case err != nil:
			s.metrics.retries.WithLabelValues(methodInherit, callFailure(err)).Inc()
			silent = append(silent, heir)
		case r.Kept:
			return true, nil
		default:
			s.metrics.retries.WithLabelValues(methodInherit, reasonStopping).Inc()
		}
	}
	return false, silent
}

func (s *Service) callInherit(ctx context.Context, heir membership.Node, b answerBatch) (r inheritResult, err error) {
	ctx, cancel := context.WithTimeout(ctx, inheritTimeout)
	defer cancel()
	err = s.peers.Call(ctx, heir.PeerAddr, methodInherit, inheritParams{b.answers}, &r)
	return r, err
}

func (s *Service) handleInherit(_ context.Context, raw json.RawMessage) (any, error) {
	var p inheritParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, errors.Wrap(err, methodInherit)
	}
	became, ok := s.answers.inherit(s.now(), p.Answers)
	if !ok {
		s.metrics.inherited.WithLabelValues(reasonStopping).Add(float64(len(p.Answers)))
	}
	for _, b := range became {
		s.metrics.inherited.WithLabelValues(string(b)).Inc()
	}
	return inheritResult{Kept: ok}, nil
}
