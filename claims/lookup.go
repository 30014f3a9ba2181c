package claims

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/membership"
)

// answerTimeout is the timeout of a call for an answer kept by another node.
const answerTimeout = 500 * time.Millisecond

// Where the answer for a repeated key was found. These are metric label values, of which
// "heir" stands for a successor.
const (
	foundHere      = "here"
	foundPeer      = "peer"
	foundSuccessor = "heir"
	foundNone      = "gone"
)

// fetchAnswer returns the answer of a request that another attempt ran, or nil if no node
// that was asked keeps it.
func (s *Service) fetchAnswer(ctx context.Context, h core.Holder, p answerParams) *Answer {
	ans, found := s.findAnswer(ctx, h, p)
	s.metrics.answers.WithLabelValues(found).Inc()
	return ans
}

// findAnswer asks the node that held the claim. If that node is gone, doesn't reply or was
// restarted, it asks the successors. found is a metric label value.
func (s *Service) findAnswer(ctx context.Context, h core.Holder, p answerParams) (ans *Answer, found string) {
	if h == s.self {
		return nil, foundNone
	}
	if n, ok := s.selector.view.View().Node(h.Node); ok && n.ID != s.self.Node {
		r, err := s.callAnswer(ctx, n, p)
		switch {
		case err == nil && r.Answer != nil:
			return r.Answer, foundPeer
		case err == nil && r.Incarnation == h.Incarnation:
			return nil, foundNone
		}
	}
	if ans := s.askSuccessors(ctx, p); ans != nil {
		return ans, foundSuccessor
	}
	return nil, foundNone
}

// askSuccessors asks all nodes that may have inherited an answer concurrently. These
// include leaving nodes, which keep their answers until they stop.
func (s *Service) askSuccessors(ctx context.Context, p answerParams) *Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ranked := newRanking(s.selector.view.View(), membership.Leaving)
	successors := ranked.successors(answerGroup(p.Key), s.self.Node)
	replies := make(chan *Answer, len(successors))
	for _, n := range successors {
		go func() {
			r, err := s.callAnswer(ctx, n, p)
			if err != nil {
				r.Answer = nil
			}
			replies <- r.Answer
		}()
	}
	for range successors {
		if ans := <-replies; ans != nil {
			return ans
		}
	}
	return nil
}

func (s *Service) callAnswer(ctx context.Context, n membership.Node, p answerParams) (r answerResult, err error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	err = s.peers.Call(ctx, n.PeerAddr, methodAnswer, p, &r)
	return r, err
}

func (s *Service) handleAnswer(_ context.Context, raw json.RawMessage) (any, error) {
	var p answerParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, errors.Wrap(err, methodAnswer)
	}
	return answerResult{Answer: s.answers.get(s.now(), p.Key, p.Fingerprint), Incarnation: s.self.Incarnation}, nil
}
