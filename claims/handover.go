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
	// handoverCalls is the maximum number of concurrent calls.
	handoverCalls = 8
	// inheritTimeout is the timeout of one call to a successor.
	inheritTimeout = 1500 * time.Millisecond
	// handoverRounds is the number of times that a successor is called if it doesn't
	// reply.
	handoverRounds = 3
	// handoverPause is the minimum time between the rounds; jitter adds up to the same
	// time again.
	handoverPause = 100 * time.Millisecond
)

// The results of handing over answers. They are metric label values.
const (
	resultHandedOver  = "handed_over"
	resultNoSuccessor = "no_heir"
	resultTimeOver    = "time_over"
)

// handOver hands the kept answers over to other nodes until all are handed over or ctx
// ends.
func (s *Service) handOver(ctx context.Context) {
	s.answers.close()
	ranked := newRanking(s.selector.view.View(), membership.Suspect)
	work := make(chan answerBatch)
	var lost atomic.Int64
	var calls sync.WaitGroup
	for range handoverCalls {
		calls.Go(func() {
			for b := range work {
				result := s.handOverBatch(ctx, ranked.successors(b.group, s.self.Node), b)
				s.metrics.handed.WithLabelValues(result).Add(float64(len(b.answers)))
				if result != resultHandedOver {
					lost.Add(int64(len(b.answers)))
				}
			}
		})
	}
	now := s.now()
	for _, b := range splitIntoBatches(now, s.answers.all(now)) {
		work <- b
	}
	close(work)
	calls.Wait()
	if n := lost.Load(); n > 0 {
		s.log.Warn("claims: stopped with answers that no node inherited; repeats of their keys get no answer", "answers", n)
	}
}

// handOverBatch offers a batch to successors until one keeps it, and returns the result as
// a metric label value. Successors that don't reply are called again.
func (s *Service) handOverBatch(ctx context.Context, successors []membership.Node, b answerBatch) string {
	for range handoverRounds {
		kept, unanswered := s.offer(ctx, successors, b)
		switch {
		case kept:
			return resultHandedOver
		case ctx.Err() != nil:
			return resultTimeOver
		case len(unanswered) == 0:
			return resultNoSuccessor
		}
		successors = unanswered
		pause.Sleep(ctx, jitter(handoverPause))
	}
	return resultNoSuccessor
}

// offer calls each successor in turn until one keeps the batch or ctx ends. It returns the
// successors that didn't reply.
func (s *Service) offer(ctx context.Context, successors []membership.Node, b answerBatch) (kept bool, unanswered []membership.Node) {
	for _, successor := range successors {
		if ctx.Err() != nil {
			return false, unanswered
		}
		r, err := s.callInherit(ctx, successor, b)
		switch {
		case err != nil:
			s.metrics.retries.WithLabelValues(methodInherit, callFailure(err)).Inc()
			unanswered = append(unanswered, successor)
		case r.Kept:
			return true, nil
		default:
			s.metrics.retries.WithLabelValues(methodInherit, reasonStopping).Inc()
		}
	}
	return false, unanswered
}

func (s *Service) callInherit(ctx context.Context, successor membership.Node, b answerBatch) (r inheritResult, err error) {
	ctx, cancel := context.WithTimeout(ctx, inheritTimeout)
	defer cancel()
	err = s.peers.Call(ctx, successor.PeerAddr, methodInherit, inheritParams{b.answers}, &r)
	return r, err
}

func (s *Service) handleInherit(_ context.Context, raw json.RawMessage) (any, error) {
	var p inheritParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, errors.Wrap(err, methodInherit)
	}
	results, ok := s.answers.inherit(s.now(), p.Answers)
	if !ok {
		s.metrics.inherited.WithLabelValues(reasonStopping).Add(float64(len(p.Answers)))
	}
	for _, b := range results {
		s.metrics.inherited.WithLabelValues(string(b)).Inc()
	}
	return inheritResult{Kept: ok}, nil
}
