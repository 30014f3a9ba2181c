package claims

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/membership"
)

// answerTimeout bounds the wait for an answer held by another node.
const answerTimeout = 500 * time.Millisecond

// Where answers for repeats were found, as metric labels.
const (
	foundHere = "here"
	foundPeer = "peer"
	foundHeir = "heir"
	foundGone = "gone"
)

// fetchAnswer looks for the answer of a request that another attempt ran; nil
// if it is no longer held.
func (s *Service) fetchAnswer(ctx context.Context, h core.Holder, p answerParams) *Answer {
	ans, found := s.findAnswer(ctx, h, p)
	s.metrics.answers.WithLabelValues(found).Inc()
	return ans
}

// findAnswer asks the node that held the claim. If that is gone, gives no reply
// or runs anew, it asks the heirs.
func (s *Service) findAnswer(ctx context.Context, h core.Holder, p answerParams) (ans *Answer, found string) {
	if h == s.self {
		return nil, foundGone
	}
	if n, ok := s.duties.view.View().Node(h.Node); ok && n.ID != s.self.Node {
		r, err := s.callAnswer(ctx, n, p)
		switch {
		case err == nil && r.Answer != nil:
			return r.Answer, foundPeer
		case err == nil && r.Incarnation == h.Incarnation:
			return nil, foundGone
		}
	}
	if ans := s.askHeirs(ctx, p); ans != nil {
		return ans, foundHeir
	}
	return nil, foundGone
}

// askHeirs asks all nodes that may have inherited an answer at once; one that
// leaves has it until it stops.
func (s *Service) askHeirs(ctx context.Context, p answerParams) *Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ranked := newRanking(s.duties.view.View(), membership.Leaving)
	heirs := ranked.heirs(answerGroup(p.Key), s.self.Node)
	replies := make(chan *Answer, len(heirs))
	for _, n := range heirs {
		go func() {
			r, err := s.callAnswer(ctx, n, p)
			if err != nil {
				r.Answer = nil
			}
			replies <- r.Answer
		}()
	}
	for range heirs {
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
