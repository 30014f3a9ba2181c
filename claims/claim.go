package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/problem"
)

const (
	// inProgressRetry and refusedRetry are the minimum times after which a caller is
	// asked to retry; jitter adds up to the same time again.
	inProgressRetry = time.Second
	refusedRetry    = time.Second
	// firstCallShare is the share of the remaining time that the call to the first
	// owner may take, so that another owner can be asked if the first is frozen.
	firstCallShare = 0.6
	// ownerReplyShare is the share of a call's timeout within which the owner has to
	// reply.
	ownerReplyShare = 0.9
)

// Claim implements Claimer.
func (s *Service) Claim(ctx context.Context, k Key, f Fingerprint) (Verdict, error) {
	began := s.now()
	v, err := s.claim(ctx, core.NewKeyID(k.Team, k.Workspace, k.Idempotency), f)
	s.metrics.seconds.Observe((s.now() - began).Seconds())
	if err == nil {
		s.metrics.verdicts.WithLabelValues(stateNames[v.State]).Inc()
	}
	return v, err
}

func (s *Service) claim(ctx context.Context, key core.KeyID, f Fingerprint) (Verdict, error) {
	if ans := s.answers.get(s.now(), key, f); ans != nil {
		s.metrics.answers.WithLabelValues(foundHere).Inc()
		return Verdict{State: Done, Answer: ans}, nil
	}
	a := core.NewAttempt(core.ClaimRequest{
		Key: key, Fingerprint: f, Attempt: core.AttemptID(rand.Uint64()), Holder: s.self,
	}, s.now(), s.deadline(ctx), s.settings.Attempt)
	startedWall := time.Now().Round(0)
	d, reason := s.askOwners(ctx, a)
	if d.MustRecordEnd {
		s.metrics.abandoned.Inc()
		s.queueEnd(a.End(core.NotRun))
	}
	if d.Action == core.ActionRefuse {
		s.metrics.refusals.WithLabelValues(reason).Inc()
		return Verdict{}, refuse(d.NoEarlierRun, reason)
	}
	v := Verdict{State: d.State}
	switch d.State {
	case Granted:
		v.Ticket = &ticket{service: s, attempt: a, startedWall: startedWall}
	case InProgress:
		v.RetryAfter = jitter(inProgressRetry)
	case Done:
		v.Answer = s.fetchAnswer(ctx, d.Holder, answerParams{key, f})
	}
	return v, nil
}

// refuse returns the refusal of an attempt that was not run. Its ran value is "no" only if
// no earlier attempt with the key was run either, else "unknown".
func refuse(clear bool, reason string) *problem.Problem {
	if clear {
		return problem.New(problem.ClaimsUnavailable, problem.NotRun, reason).WithRetryAfter(jitter(refusedRetry))
	}
	return problem.New(problem.ClaimsUnavailable, problem.MayHaveRun,
		reason+": this attempt was not run; whether an earlier one with the same key was can't be told now",
	).WithRetryAfter(jitter(refusedRetry))
}

// askOwners asks owners one after the other until the attempt has a verdict or is refused.
// The returned string is the reason of a refusal.
func (s *Service) askOwners(ctx context.Context, a *core.Attempt) (core.Decision, string) {
	for {
		owner, ok := s.selector.pick(a.Ask.Key.Shard(), a.FailedCalls())
		if !ok {
			owner = membership.Node{ID: s.self.Node}
		}
		reply, err := s.ask(ctx, owner, a)
		if ctx.Err() != nil {
			return a.GiveUp(), reasonCallerGone
		}
		if err == nil {
			return a.Replied(s.now(), reply), refusalReason(reply)
		}
		s.selector.markFailed(owner.ID)
		reason := callFailure(err)
		d := a.Failed(s.now(), reason == reasonNoReply)
		if d.Action != core.ActionAsk {
			return d, reason
		}
		s.metrics.retries.WithLabelValues(methodClaim, reason).Inc()
	}
}

func (s *Service) ask(ctx context.Context, owner membership.Node, a *core.Attempt) (core.Reply, error) {
	wait := max(0, a.Deadline()-s.now())
	if a.FailedCalls() == 0 {
		wait = time.Duration(float64(wait) * firstCallShare)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	wait = time.Duration(float64(wait) * ownerReplyShare)
	if owner.ID == s.self.Node {
		return s.owners[a.Ask.Key.Shard()].ask(ctx, a.Ask, wait)
	}
	var reply core.Reply
	err := s.peers.Call(ctx, owner.PeerAddr, methodClaim, claimParams{a.Ask, wait.Milliseconds()}, &reply)
	return reply, err
}

// deadline returns the caller's deadline as an Instant of the service, or Forever.
func (s *Service) deadline(ctx context.Context) core.Instant {
	at, ok := ctx.Deadline()
	if !ok {
		return core.Forever
	}
	return s.now() + time.Until(at)
}

// callFailure returns the metric label value for a failed call. Only with reasonNoReply
// may the owner have received the call.
func callFailure(err error) string {
	switch {
	case errors.Is(err, peer.ErrUnreachable):
		return reasonUnreachable
	case errors.Is(err, peer.ErrBusy):
		return reasonOverloaded
	default:
		return reasonNoReply
	}
}

// refusalReason returns the metric label value for a reply that leads to a refusal.
func refusalReason(r core.Reply) string {
	switch r.Status {
	case core.Unavailable:
		return reasonStore
	case core.Expired:
		return reasonExpired
	case core.AttemptEnded:
		return reasonClosed
	default:
		return reasonLate
	}
}
