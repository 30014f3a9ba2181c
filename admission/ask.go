package admission

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/peer"
)

// maxAsks is the largest number of asks for a place in one cell. Asks to another owner
// count, and so do repeated asks because the granted target is leaving according to this
// node's list.
const maxAsks = 3

var errBreakerOpen = errors.New("admission: circuit breaker open: the owner failed to answer recent asks; it is asked again soon")

type answerKind int

const (
	answerNone answerKind = iota // no usable answer from an owner: use the local estimate
	answerGranted
	answerFull
	answerRefused
	answerCanceled // the caller canceled the request
	answerGone     // granted on a target that is gone or leaving according to this node's list
)

// answer is the result of asking a cell's owner.
type answer struct {
	kind    answerKind
	reply   holds.Reply
	place   place
	outcome string // metric label of a grant
	reason  string // metric label of answerNone
}

// askCell asks the owner of a cell. It asks another node if the first one isn't the owner or
// the view changes meanwhile, and asks again without the granted target if that is leaving.
func (e *acquisition) askCell(ctx context.Context, index int) answer {
	s := e.service
	k := holds.CellKey{Pool: e.request.Pool.Pool, Region: e.region, Cell: index, Of: e.plan.pools[e.request.Pool.Pool].cells}
	exclude := e.request.Exclude
	owner, ok := e.plan.owner(k)
	var a answer
	for range maxAsks {
		if !ok {
			return answer{reason: reasonNoOwner}
		}
		a = e.askOwner(ctx, owner, k, exclude)
		again, why := false, redirectOwner
		switch a.kind {
		case answerGone:
			exclude = append(slices.Clip(exclude), a.reply.Target)
			again, why = true, redirectTarget
		case answerNone:
			owner, again = s.nextOwner(k, owner, a)
		}
		if !again {
			return a
		}
		s.metrics.redirects.WithLabelValues(why).Inc()
	}
	return a
}

// nextOwner returns the owner to ask after a node gave no usable answer, and whether there
// is another one.
func (s *Service) nextOwner(k holds.CellKey, asked membership.Node, a answer) (membership.Node, bool) {
	if a.reply.Leaving {
		s.recordLeaving(holds.From{Node: asked.ID, Incarnation: asked.Incarnation})
	}
	p := s.plan()
	if n, ok := p.owner(k); ok && n.ID != asked.ID {
		return n, true
	}
	if n, ok := p.inputs.view.Node(a.reply.Owner); ok && n.ID != asked.ID && n.State == membership.Alive {
		return n, true
	}
	return asked, false
}

// askOwner asks one node. If a grant arrives after the timeout, the place is released.
func (e *acquisition) askOwner(ctx context.Context, owner membership.Node, k holds.CellKey, exclude []string) answer {
	s := e.service
	h := holderOf(owner)
	seq := s.table.Begin(s.now(), k, h)
	m := holds.Acquire{
		From: s.self, CellKey: k, Seq: seq, Chat: e.request.Chat, Workspace: workspaceName(e.request),
		Weight: e.request.Workspace.Weight, Urgency: e.request.Priority, Exclude: exclude,
		Returning: e.request.Returning, Last: e.isLastCell(), LeavingNodes: s.leavingNodes(),
	}
	if m.Weight == 1 {
		m.Weight = 0
	}
	outcome := outcomeOwner
	var reply holds.Reply
	var err error
	if owner.ID == s.cfg.Node {
		outcome = outcomeSelf
		reply = s.acquireOwned(m)
	} else {
		reply, err = s.askRemote(ctx, owner, m)
	}
	if err != nil {
		return s.abandonAsk(ctx, owner, k, seq, err)
	}
	return e.handleReply(reply, outcome, owner, k, seq)
}

// askRemote sends an ask to another node, with a timeout derived from that node's recent
// answer times.
func (s *Service) askRemote(ctx context.Context, owner membership.Node, m holds.Acquire) (holds.Reply, error) {
	start := s.now()
	s.mu.Lock()
	l := s.links[owner.ID]
	if l == nil {
		l = &link{}
		s.links[owner.ID] = l
	}
	allowed, timeout := l.allow(start), l.timeout(s.cfg.Timeout)
	s.mu.Unlock()
	if !allowed {
		return holds.Reply{}, errBreakerOpen
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply holds.Reply
	err := s.call(bounded, owner, methodAcquire, m, &reply)
	took := s.now().Sub(start)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		l.answered(took)
		s.metrics.roundTrip.Observe(took.Seconds())
	case ctx.Err() == nil:
		l.failed(start, s.now())
	}
	return reply, err
}

// abandonAsk cancels an ask that got no answer. The owner may still grant it, so a release
// is sent, unless the ask certainly never reached the owner.
func (s *Service) abandonAsk(ctx context.Context, owner membership.Node, k holds.CellKey, seq uint64, err error) answer {
	s.table.GiveUp(k, seq)
	reason := failureReason(err)
	if reason != reasonUnreachable && reason != reasonBreaker {
		s.metrics.givenUp.Inc()
		s.sendRelease(owner.ID, k, seq, Unknown)
	}
	if ctx.Err() != nil {
		return answer{kind: answerCanceled}
	}
	return answer{reason: reason}
}

func failureReason(err error) string {
	switch {
	case errors.Is(err, errBreakerOpen):
		return reasonBreaker
	case errors.Is(err, peer.ErrUnreachable):
		return reasonUnreachable
	case errors.Is(err, context.DeadlineExceeded):
		return reasonTimeout
	default:
		return reasonFailed
	}
}

// handleReply converts an owner's reply to an answer.
func (e *acquisition) handleReply(r holds.Reply, outcome string, owner membership.Node, k holds.CellKey, seq uint64) answer {
	s := e.service
	if r.Code != holds.Granted {
		s.table.GiveUp(k, seq)
	}
	switch r.Code {
	case holds.Granted:
		return e.handleGrant(r, outcome, owner, k, seq)
	case holds.Full:
		if r.Reason == cell.ReasonRecovering {
			return answer{reply: r, reason: reasonRecovering}
		}
		return answer{kind: answerFull, reply: r}
	case holds.Refused:
		return answer{kind: answerRefused, reply: r}
	case holds.NotOwner:
		return answer{reply: r, reason: reasonNotOwner}
	default:
		return answer{reply: r, reason: reasonStale}
	}
}

// handleGrant records the place, or releases it if the target is leaving or gone according
// to this node's list.
func (e *acquisition) handleGrant(r holds.Reply, outcome string, owner membership.Node, k holds.CellKey, seq uint64) answer {
	s := e.service
	t, ok := s.plan().liveTarget(k, r.Target)
	if !ok {
		s.table.GiveUp(k, seq)
		s.sendRelease(owner.ID, k, seq, Unknown)
		return answer{kind: answerGone, reply: r}
	}
	s.table.Grant(s.now(), k, holderOf(owner), holds.Place{
		Seq: seq, Target: t.ID, Workspace: workspaceName(e.request), Chat: e.request.Chat,
	})
	return answer{kind: answerGranted, outcome: outcome, place: place{key: k, seq: seq, target: t, done: s.local.countSent(t.ID)}}
}
