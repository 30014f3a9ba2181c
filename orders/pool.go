package orders

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/lease"
)

// unreachableReads is the number of consecutive failed reads after which the last
// known state of an engine is discarded.
const unreachableReads = 2

// engine is the issuer's data about one engine during a term.
type engine struct {
	target    Target
	known     bool // state holds the result of a read
	state     State
	readFails int
	nextRead  time.Time
	ordered   time.Time // when the outstanding order was sent; zero if none is
	attempts  int       // failed orders for the current desired state
	nextTry   time.Time
	err       string
}

// Pool is the state of one pool's issuer. It does no I/O and isn't safe for
// concurrent use.
type Pool struct {
	limits  Limits
	spec    Spec
	hash    string
	engines map[string]*engine
	ids     []string // sorted

	term   lease.Term
	active bool
	began  time.Time // of the term
	fenced bool      // see Fenced
	// seenFence is the greatest fencing number in an engine's state.
	seenFence int64

	loads, reads bucket
	recordCache  recordCache
	halted       string // why the roll-out was halted; empty if it wasn't
	reason       Reason
	retries      map[RetryReason]int
}

// RetryReason is the reason why an engine is ordered again.
type RetryReason string

// The reasons for ordering an engine again.
const (
	RetryLoadFailed  RetryReason = "load_failed"
	RetryUnseen      RetryReason = "unseen" // the engine's state doesn't show the order
	RetryRefused     RetryReason = "refused"
	RetryIncarnation RetryReason = "incarnation"
	RetryNotSent     RetryReason = "not_sent"
	RetryDrifted     RetryReason = "drifted" // the engine has left the desired state
)

// NewPool returns a pool without spec, engines or term.
func NewPool(l Limits) *Pool {
	return &Pool{limits: l, engines: make(map[string]*engine), retries: make(map[RetryReason]int)}
}

// SetTerm starts or extends a term of the lease, or suspends it if ok is false. A
// new term starts without the engines' states, which are read again.
func (p *Pool) SetTerm(t lease.Term, ok bool, now time.Time) {
	switch {
	case !ok:
		p.active = false
	case p.active && p.term.Fence == t.Fence:
		p.term = t
	case p.term.Fence == t.Fence:
		p.active, p.term = true, t // the same term was confirmed again
	default:
		p.begin(t, now)
	}
}

func (p *Pool) begin(t lease.Term, now time.Time) {
	p.term, p.active, p.began, p.fenced = t, true, now, false
	p.halted = ""
	p.recordCache = recordCache{}
	p.loads = newBucket(p.loadRate(), float64(p.limits.MaxLoading), now)
	p.reads = newBucket(p.limits.ReadsPerSecond, max(1, p.limits.ReadsPerSecond), now)
	for id, e := range p.engines {
		p.engines[id] = &engine{target: e.target}
	}
}

// SetSpec sets the desired state. A change clears the failures that belong to the
// previous state. A spec with an older revision than the current one is ignored.
func (p *Pool) SetSpec(s Spec) {
	if s.Revision < p.spec.Revision {
		return
	}
	p.spec = s
	p.loads.rate = p.loadRate()
	if h := s.Hash(); h != p.hash {
		p.hash = h
		p.halted = ""
		for _, e := range p.engines {
			e.clearOrder()
		}
	}
}

// loadRate returns the allowed loads from the weight store per second.
func (p *Pool) loadRate() float64 {
	perMinute := p.limits.LoadsPerMinute
	if p.spec.LoadsPerMinute > 0 {
		perMinute = p.spec.LoadsPerMinute
	}
	return perMinute / time.Minute.Seconds()
}

// clearOrder clears the outstanding order and the failures. If an order was
// outstanding, the state is discarded and due to be read again.
func (e *engine) clearOrder() {
	if !e.ordered.IsZero() {
		e.known, e.readFails, e.nextRead = false, 0, time.Time{}
	}
	e.ordered, e.nextTry = time.Time{}, time.Time{}
	e.attempts, e.err = 0, ""
}

// SetTargets sets the engines of the pool; the caller leaves out engines that are
// leaving. An engine with a new incarnation starts without a known state.
func (p *Pool) SetTargets(targets []Target) {
	next := make(map[string]*engine, len(targets))
	p.ids = p.ids[:0]
	for _, t := range targets {
		e, ok := p.engines[t.ID]
		if !ok || e.target.Incarnation != t.Incarnation {
			e = &engine{}
		}
		e.target = t
		next[t.ID] = e
		p.ids = append(p.ids, t.ID)
	}
	slices.Sort(p.ids)
	p.engines = next
}

// Fenced reports whether an engine has accepted a greater fencing number: the term
// is over, or the engine came from another pool and a newer term is needed.
func (p *Pool) Fenced() bool { return p.fenced }

// SeenFence returns the greatest fencing number that an engine is known to have accepted.
func (p *Pool) SeenFence() int64 { return p.seenFence }

// Fence returns the fencing number of the term.
func (p *Pool) Fence() int64 { return p.term.Fence }

// NextRead returns the engine whose state is to be read now. No state is read while
// orders of an earlier issuer may still arrive and change it.
func (p *Pool) NextRead(now time.Time) (Target, bool) {
	if !p.active || p.earlierOrdersInFlight(now) || !p.reads.has(now) {
		return Target{}, false
	}
	var next *engine
	for _, id := range p.ids {
		e := p.engines[id]
		if !now.Before(e.nextRead) && (next == nil || e.readBefore(next)) {
			next = e
		}
	}
	if next == nil {
		return Target{}, false
	}
	p.reads.take()
	return next.target, true
}

// readBefore reports whether e is read before o when both are due: a busy engine
// comes first, because the order to the next engine waits for it; otherwise the one
// due for longer.
func (e *engine) readBefore(o *engine) bool {
	if e.busy() != o.busy() {
		return e.busy()
	}
	return e.nextRead.Before(o.nextRead)
}

// busy reports whether the engine loads some state or has an order outstanding.
func (e *engine) busy() bool {
	return e.known && (e.state.Phase == PhaseLoading || !e.ordered.IsZero())
}

// NextOrder returns the order to send now. If there is none, Waiting returns the
// reason.
func (p *Pool) NextOrder(now time.Time) (Target, Order, bool) {
	p.reason = p.termBlockReason(now)
	if p.reason != ReasonNone {
		return Target{}, Order{}, false
	}
	views := p.views()
	p.halt(count(views))
	if p.halted != "" {
		p.reason = ReasonHalted
		return Target{}, Order{}, false
	}
	i, why := plan(views, p.limits, p.loads.has(now), now)
	p.reason = why
	if i < 0 {
		i = p.nextToRefence(views, now)
	}
	if i < 0 {
		return Target{}, Order{}, false
	}
	t := p.engines[p.ids[i]].target
	return t, Order{Fence: p.term.Fence, Incarnation: t.Incarnation, Desired: p.spec.Desired}, true
}

// nextToRefence returns the index of an engine that is in the desired state but
// would still accept an order of an older term, or -1. An order for the state that
// it already has makes it refuse orders of older terms from then on.
func (p *Pool) nextToRefence(views []engineView, now time.Time) int {
	if p.spec.Fencing != FencingChecked {
		return -1
	}
	return slices.IndexFunc(views, func(v engineView) bool {
		return v.class == classDone && v.fence < p.term.Fence && !now.Before(v.nextTry)
	})
}

// Waiting returns the reason why the last NextOrder returned no order.
func (p *Pool) Waiting() Reason { return p.reason }

// termBlockReason returns why no order may be sent in this term yet, ReasonNone if
// orders may be sent.
func (p *Pool) termBlockReason(now time.Time) Reason {
	switch {
	case !p.active || p.fenced:
		return ReasonNotIssuer
	case p.earlierOrdersInFlight(now):
		return ReasonWaitingOut
	case p.recordCache.behind(p.spec, p.hash):
		return ReasonSettingsBehind
	case !p.recordCache.has(p.hash):
		return ReasonUnrecorded
	}
	return ReasonNone
}

// earlierOrdersInFlight reports whether orders of an earlier term may still be in
// flight to engines that would accept them.
func (p *Pool) earlierOrdersInFlight(now time.Time) bool {
	return p.spec.Fencing != FencingChecked && now.Before(p.began.Add(p.limits.OrderTimeout+p.limits.Settle))
}

func (p *Pool) halt(c counts) {
	if p.halted == "" && shouldHalt(c, p.limits) {
		p.halted = strings.Join(p.failures(), "; ")
	}
}

// failures returns the given-up engines with their errors, at most maxErrors.
func (p *Pool) failures() []string {
	var out []string
	for _, id := range p.ids {
		e := p.engines[id]
		if e.attempts >= p.limits.MaxAttempts {
			out = append(out, id+": "+e.err)
		}
	}
	return out[:min(len(out), maxErrors)]
}

func (p *Pool) views() []engineView {
	views := make([]engineView, len(p.ids))
	for i, id := range p.ids {
		e := p.engines[id]
		c, gaveUp := e.class(p.spec.Desired), e.attempts >= p.limits.MaxAttempts
		views[i] = engineView{
			class:      c,
			serving:    e.known && e.state.Phase == PhaseReady && e.ordered.IsZero(),
			busy:       e.busy(),
			needsLoad:  !e.state.Current.SameWeights(p.spec.Desired),
			unread:     !e.known && e.readFails < unreachableReads,
			inProgress: c == classLoading || e.attempts > 0 && !gaveUp,
			gaveUp:     gaveUp,
			nextTry:    e.nextTry,
			fence:      e.state.Fence,
		}
	}
	return views
}

func (e *engine) class(d Desired) class {
	s := e.state
	switch {
	case !e.known:
		return classUnknown
	case !e.ordered.IsZero(), s.Phase == PhaseLoading && s.Target.Equal(d):
		return classLoading
	case s.Phase == PhaseReady && s.Current.Equal(d):
		return classDone
	case s.Phase == PhaseFailed && s.Target.Equal(d):
		return classFailed
	}
	return classWrong
}

// OrderDone handles the outcome of an order.
func (p *Pool) OrderDone(id string, err error, now time.Time) {
	e, ok := p.engines[id]
	if !ok {
		return
	}
	if !errors.Is(err, ErrNotSent) && !e.state.Current.SameWeights(p.spec.Desired) {
		p.loads.take()
	}
	switch {
	case err == nil && e.class(p.spec.Desired) == classDone:
		e.state.Fence = p.term.Fence
	case err == nil, errors.Is(err, ErrUncertain):
		e.ordered = now
		e.nextRead = now.Add(p.limits.PendingReadEvery)
	case errors.Is(err, ErrStaleFence):
		p.fenced = true
	case errors.Is(err, ErrRefused):
		p.failed(e, RetryRefused, err.Error(), now)
	case errors.Is(err, ErrIncarnation):
		p.retries[RetryIncarnation]++
		e.known, e.nextRead = false, now
		e.nextTry = now.Add(p.limits.Backoff)
	default:
		p.retries[RetryNotSent]++
		e.nextTry = now.Add(p.limits.Backoff)
	}
}

// ReadDone handles the outcome of a read of an engine's state.
func (p *Pool) ReadDone(id string, s State, err error, now time.Time) {
	e, ok := p.engines[id]
	if !ok {
		return
	}
	if err != nil {
		e.readFails++
		e.known = e.known && e.readFails < unreachableReads
		e.nextRead = now.Add(p.backoff(e.readFails))
		return
	}
	was := e.class(p.spec.Desired)
	e.known, e.readFails, e.state = true, 0, s
	p.seenFence = max(p.seenFence, s.Fence)
	p.reconcile(e, was, now)
	e.nextRead = now.Add(p.readEvery(e))
}

// reconcile compares the state just read with the outstanding order and with was,
// the class before the read.
func (p *Pool) reconcile(e *engine, was class, now time.Time) {
	d := p.spec.Desired
	switch {
	case e.state.Phase == PhaseReady && e.state.Current.Equal(d):
		e.ordered, e.attempts, e.err = time.Time{}, 0, ""
	case e.state.Phase == PhaseFailed && e.state.Target.Equal(d):
		if was == classLoading || e.attempts == 0 {
			p.failed(e, RetryLoadFailed, e.state.Error, now)
		}
	case e.state.Phase == PhaseLoading && e.state.Target.Equal(d):
		e.ordered = time.Time{}
	case !e.ordered.IsZero() && now.Sub(e.ordered) >= p.limits.OrderGrace:
		p.failed(e, RetryUnseen, "accepted the order but doesn't show it", now)
	case was == classDone:
		p.retries[RetryDrifted]++
	}
}

func (p *Pool) failed(e *engine, why RetryReason, msg string, now time.Time) {
	p.retries[why]++
	e.attempts++
	e.ordered = time.Time{}
	e.err = msg
	e.nextTry = now.Add(p.backoff(e.attempts))
}

func (p *Pool) readEvery(e *engine) time.Duration {
	if e.class(p.spec.Desired) == classLoading {
		return p.limits.PendingReadEvery
	}
	return p.limits.ReadEvery
}

// backoff returns the delay after a number of failures; it doubles with each one.
func (p *Pool) backoff(failures int) time.Duration {
	const maxDoublings = 16
	return min(p.limits.MaxBackoff, p.limits.Backoff<<min(failures-1, maxDoublings))
}
