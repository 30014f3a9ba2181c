package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
)

const (
	// maxAsks is the number of asks for a place in one cell: to another owner, or without a granted
	// target that is gone by this node's list.
	maxAsks = 4
	// maxCellsAsked is the number of cells asked for one request.
	maxCellsAsked = 3
	// maxRetryAfter limits the delay that an owner's refusal may name.
	maxRetryAfter = time.Minute
)

// acquisition is one call of Acquire in progress.
type acquisition struct {
	*Service
	request Request
	began   time.Time
	targets []cell.Target
	chat    uint64
	exclude []string
}

// Acquire asks an owner for a place and waits in its queue. For an owner that doesn't answer it waits
// no longer than owners hold calls and an answer takes by the measured round trips.
func (s *Service) Acquire(ctx context.Context, r Request) Answer {
	targets, dispatched := s.directory.Targets(r.Service)
	// A request has no chat. Failures of a target count once for each, so each request is one.
	a := &acquisition{Service: s, request: r, began: s.now(), targets: targets, chat: uint64(rand.Uint32()), exclude: r.Exclude}
	ans := Answer{Outcome: Unavailable, Why: reasonNotDispatched}
	if dispatched {
		ans = a.run(ctx)
	}
	s.metrics.requests.WithLabelValues(ans.Outcome.String()).Inc()
	if ans.Outcome == Unavailable {
		s.metrics.fallbacks.WithLabelValues(ans.Why).Inc()
	}
	return ans
}

// run asks the owners of cells until one grants a place or none is left.
func (a *acquisition) run(ctx context.Context) Answer {
	ans := Answer{Outcome: Unavailable, Why: reasonNoTarget}
	of := a.cellsOf(a.request.Service, a.targets)
	for i, index := range a.cellOrder(of) {
		if i == maxCellsAsked {
			break
		}
		next := a.askCell(ctx, holds.CellKey{Pool: a.request.Service, Cell: index, Of: of})
		if ans.Outcome == Refused && next.Why == reasonNoTarget {
			continue
		}
		ans = next
		if ans.Outcome != Refused && ans.Why != reasonNoTarget {
			return ans
		}
	}
	return ans
}

// cellOrder returns the cells with usable targets in random order, weighted by their places.
func (a *acquisition) cellOrder(of int) []int {
	if of == 1 {
		return []int{0}
	}
	places := make([]int, of)
	sum := 0
	for _, t := range a.targets {
		if !t.Leaving && !slices.Contains(a.exclude, t.ID) {
			places[cell.IndexOf(t.ID, of)] += max(t.Capacity, 1)
			sum += max(t.Capacity, 1)
		}
	}
	var out []int
	for sum > 0 {
		at := rand.IntN(sum)
		for i, n := range places {
			if at -= n; at < 0 {
				out = append(out, i)
				sum -= n
				places[i] = 0
				break
			}
		}
	}
	return out
}

// step is what follows the answer of one node.
type step struct {
	answer Answer
	again  bool
	next   string // node to ask, "" for the first in the order
}

// askCell asks the owner of a cell, and another node if the first one isn't the owner.
func (a *acquisition) askCell(ctx context.Context, k holds.CellKey) Answer {
	var st step
	for range maxAsks {
		owner, passed := a.choose(k, holdTime+maxRoundTrip)
		if st.next != "" {
			owner = st.next
		}
		if owner == "" {
			return Answer{Outcome: Unavailable, Why: reasonNoOwner}
		}
		st = a.askOwner(ctx, k, owner, passed)
		st.answer.Owner = owner
		if !st.again {
			break
		}
	}
	return st.answer
}

// askOwner asks one node, and repeats the ask while the request waits in its queue.
func (a *acquisition) askOwner(ctx context.Context, k holds.CellKey, owner string, passed []string) step {
	holder := cell.Holder{Node: owner}
	seq := a.table.Begin(a.now(), k, holder)
	m := a.message(k, owner, seq, passed)
	began := a.now()
	answered := began // when the owner last answered
	for held := 0; ; held++ {
		reply, err := a.send(ctx, owner, m, held)
		var st step
		switch {
		case err != nil || ctx.Err() != nil:
			st = a.abandon(ctx, k, owner, seq, err)
		case reply.Code != holds.Waiting:
			a.metrics.asks.WithLabelValues(codeLabel(reply.Code)).Inc()
			st = a.handle(k, owner, seq, reply)
		default:
			a.metrics.asks.WithLabelValues(codeLabel(reply.Code)).Inc()
			answered = a.now()
			continue
		}
		st.answer.Waited = max(st.answer.Waited, answered.Sub(began))
		return st
	}
}

// left returns how many milliseconds of a limit at the beginning are left: 0 for no limit, and
// negative if it has passed.
func left(limit, passed time.Duration) int64 {
	if limit == 0 {
		return 0
	}
	if ms := (limit - passed).Milliseconds(); ms != 0 {
		return ms
	}
	return -1
}

func (a *acquisition) message(k holds.CellKey, owner string, seq uint64, passed []string) acquireMessage {
	r := &a.request
	now := a.now()
	a.mu.Lock()
	rivals, leaving := a.claims.others(k, owner, now), a.states.leaving(now)
	a.mu.Unlock()
	if owner != a.self.Node && a.owned.get(k) != nil {
		rivals = append(rivals, a.self)
	}
	return acquireMessage{
		Acquire: holds.Acquire{
			From: a.self, CellKey: k, Seq: seq, Chat: a.chat, Workspace: r.Workspace, Urgency: r.Urgency,
			Exclude: a.exclude, LeavingNodes: leaving[:min(len(leaving), maxNodes)],
			RemainingMS: left(r.Remaining, now.Sub(a.began)), Domain: a.cfg.Domain,
			Rivals: rivals, Suspects: passed,
		},
	}
}

// patience returns how long to wait for an owner's answer now, and how long it may hold the call, after it has held
// some.
func (a *acquisition) patience(owner string, held int) (patience, hold time.Duration) {
	r := &a.request
	remaining := r.Remaining
	if remaining != 0 {
		remaining = max(remaining-a.now().Sub(a.began), 1)
	}
	return patienceFor(remaining, r.Work, a.roundTrip(owner), held)
}

// send sends an ask, with the ended places that the owner doesn't know yet.
func (a *acquisition) send(ctx context.Context, owner string, m acquireMessage, held int) (holds.Reply, error) {
	patience, hold := a.patience(owner, held)
	m.HoldMicros = hold.Microseconds()
	if owner == a.self.Node {
		return a.acquireOwned(ctx, m), nil
	}
	began := a.now()
	m.Ended = a.ended.TakeFor(owner)
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var reply holds.Reply
	err := a.call(ctx, owner, methodAcquire, m, &reply)
	if err != nil {
		a.ended.Requeue(owner, m.Ended)
		return reply, err
	}
	took, unheld := a.now().Sub(began), reply.Code != holds.Waiting && reply.WaitedMS == 0
	a.mu.Lock()
	a.states.recordAnswer(owner)
	if unheld {
		a.roundTrips.observe(owner, took)
	}
	a.mu.Unlock()
	if unheld {
		a.metrics.roundTrip.Observe(took.Seconds())
	}
	return reply, nil
}

// abandon gives up an ask that got no usable answer. The owner may still grant it, so the place is
// released.
func (a *acquisition) abandon(ctx context.Context, k holds.CellKey, owner string, seq uint64, err error) step {
	a.table.GiveUp(k, seq)
	now := a.now()
	if methodMissing(err) {
		a.metrics.asks.WithLabelValues("incapable").Inc()
		a.mu.Lock()
		a.states.recordIncapable(owner, now)
		a.mu.Unlock()
		return step{answer: Answer{Outcome: Unavailable, Why: reasonNoOwner}, again: true}
	}
	a.sendEnded(owner, k, seq, cell.Unknown)
	if ctx.Err() != nil {
		return step{answer: Answer{Outcome: Canceled}}
	}
	reason, unanswered := failureReason(err)
	a.metrics.asks.WithLabelValues(reason).Inc()
	if unanswered {
		a.mu.Lock()
		suspected, begins := a.states.recordUnanswered(owner, now)
		if suspected {
			a.roundTrips.backOff(owner)
		}
		a.mu.Unlock()
		if begins {
			a.metrics.suspicions.Inc()
			a.log.Warn("owner suspected after unanswered calls", "owner", owner, "service", k.Pool, "cell", k.Cell, "err", err)
		}
	}
	return step{answer: Answer{Outcome: Unavailable, Why: reason}}
}

// handle converts an owner's reply to an answer.
func (a *acquisition) handle(k holds.CellKey, owner string, seq uint64, r holds.Reply) step {
	if r.Code == holds.Granted {
		return a.handleGrant(k, owner, seq, r)
	}
	a.table.GiveUp(k, seq)
	unavailable := func(why string) Answer { return Answer{Outcome: Unavailable, Why: why} }
	switch r.Code {
	case holds.Refused:
		return step{answer: Answer{
			Outcome: Refused, Reason: r.Reason, Waited: waited(r),
			RetryAfter: time.Duration(min(max(r.RetryAfterMS, 0), maxRetryAfter.Milliseconds())) * time.Millisecond,
		}}
	case holds.Full:
		if r.Reason == cell.ReasonRecovering {
			return step{answer: unavailable(reasonRecovering)}
		}
		return step{answer: unavailable(reasonNoTarget)}
	case holds.NotOwner:
		return a.redirect(k, owner, r)
	default:
		return step{answer: unavailable(reasonStale), again: true}
	}
}

// redirect chooses the next node after one that isn't the owner.
func (a *acquisition) redirect(k holds.CellKey, asked string, r holds.Reply) step {
	st := step{answer: Answer{Outcome: Unavailable, Why: reasonNotOwner}}
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.claims.withdraw(k, asked)
	a.reported.withdraw(k, asked)
	if r.Leaving && asked != a.self.Node {
		a.states.recordLeaving(asked, now, true)
	}
	owner, _ := a.states.choose(a.order(k, now), now, a.fleet.HeardAt, 0)
	if owner != "" && owner != asked {
		st.again = true
		return st
	}
	if r.Owner != "" && r.Owner != asked && a.fleet.IsLive(r.Owner) {
		st.again, st.next = true, r.Owner
	}
	return st
}

// handleGrant records the place, or releases it if the target is gone by this node's list.
func (a *acquisition) handleGrant(k holds.CellKey, owner string, seq uint64, r holds.Reply) step {
	targets, _ := a.directory.Targets(a.request.Service)
	usable := slices.ContainsFunc(targets, func(t cell.Target) bool { return t.ID == r.Target && !t.Leaving })
	if !usable || slices.Contains(a.exclude, r.Target) {
		a.table.GiveUp(k, seq)
		a.sendEnded(owner, k, seq, cell.Unknown)
		a.exclude = append(slices.Clip(a.exclude), r.Target)
		return step{answer: Answer{Outcome: Unavailable, Why: reasonGone}, again: true}
	}
	a.table.Grant(a.now(), k, cell.Holder{Node: owner}, holds.Place{
		Seq: seq, Target: r.Target, Workspace: a.request.Workspace, Chat: a.chat,
	})
	return step{answer: Answer{Outcome: Granted, Place: a.newPlace(k, seq, r.Target), Waited: waited(r)}}
}

func waited(r holds.Reply) time.Duration {
	return time.Duration(min(max(r.WaitedMS, 0), maxWait.Milliseconds())) * time.Millisecond
}

func codeLabel(c holds.Code) string {
	switch c {
	case holds.Granted:
		return "granted"
	case holds.Refused:
		return "refused"
	case holds.Full:
		return "full"
	case holds.Waiting:
		return "waiting"
	case holds.NotOwner:
		return "not_owner"
	}
	return "stale"
}
