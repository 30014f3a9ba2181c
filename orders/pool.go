package orders

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/lease"
)

// unreachableReads is how many reads in a row must fail before an engine's
// last known state is doubted.
const unreachableReads = 2

// engine is what an issuer knows of one engine during a term.
type engine struct {
	target    Target
	known     bool
	state     State
	readFails int
	nextRead  time.Time
	ordered   time.Time // of the order outstanding; zero if none
	attempts  int       // failed for the present desired state
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
	began  time.Time
	fenced bool

	loads, reads bucket
	ledger       ledger
	halted       string
	reason       Reason
	retries      map[Retry]int
}

// Retry says why an engine is ordered again.
type Retry string

// The reasons for which an order counts as failed.
const (
	RetryLoadFailed  Retry = "load_failed"
	RetryUnseen      Retry = "unseen"
	RetryRefused     Retry = "refused"
	RetryIncarnation Retry = "incarnation"
	RetryNotSent     Retry = "not_sent"
	RetryDrifted     Retry = "drifted" // was there, and is no longer
)

// NewPool returns a pool without spec, engines or term.
func NewPool(l Limits) *Pool {
	return &Pool{limits: l, engines: make(map[string]*engine), retries: make(map[Retry]int)}
}

// SetTerm begins a term, goes on with it, or ends it if ok is false. A new
// term starts with no knowledge of the engines.
func (p *Pool) SetTerm(t lease.Term, ok bool, now time.Time) {
	switch {
	case !ok:
		p.active = false
	case p.active && p.term.Fence == t.Fence:
		p.term = t
	case p.term.Fence == t.Fence:
		p.active, p.term = true, t // believed again in the same term
	default:
		p.begin(t, now)
	}
}

func (p *Pool) begin(t lease.Term, now time.Time) {
	p.term, p.active, p.began, p.fenced = t, true, now, false
	p.halted = ""
	p.ledger = ledger{}
	p.loads = newBucket(p.loadRate(), float64(p.limits.MaxLoading), now)
	p.reads = newBucket(p.limits.ReadsPerSecond, max(1, p.limits.ReadsPerSecond), now)
	for id, e := range p.engines {
		p.engines[id] = &engine{target: e.target}
	}
}

// SetSpec sets the desired state. A changed one forgets the failures of the
// one before. An older revision than the present one is ignored.
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
			e.forgetOrder()
		}
	}
}

// loadRate returns the loads a second that the weight store is to give.
func (p *Pool) loadRate() float64 {
	perMinute := p.limits.LoadsPerMinute
	if p.spec.LoadsPerMinute > 0 {
		perMinute = p.spec.LoadsPerMinute
	}
	return perMinute / time.Minute.Seconds()
}

// forgetOrder forgets the failures, and has the state read again if an order
// is outstanding.
func (e *engine) forgetOrder() {
	if !e.ordered.IsZero() {
		e.known, e.readFails, e.nextRead = false, 0, time.Time{}
	}
	e.ordered, e.nextTry = time.Time{}, time.Time{}
	e.attempts, e.err = 0, ""
}

// SetTargets sets the engines of the pool, without the leaving ones.
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

// Fenced says that an engine has seen a greater fencing number: the term is
// over, or the engine came from another pool and a newer term is needed.
func (p *Pool) Fenced() bool { return p.fenced }

// Fence returns the fencing number of the term.
func (p *Pool) Fence() int64 { return p.term.Fence }

// NextRead returns the engine whose state is to be read next. An engine's
// state isn't read while an old issuer's orders may still arrive at it.
func (p *Pool) NextRead(now time.Time) (Target, bool) {
	if !p.active || p.waitsOut(now) || !p.reads.has(now) {
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

// readBefore says which of two engines that are due is read first: one under
// an order, for the next engine waits for it; else the one due for longer.
func (e *engine) readBefore(o *engine) bool {
	if e.busy() != o.busy() {
		return e.busy()
	}
	return e.nextRead.Before(o.nextRead)
}

// busy says that the engine loads something, or was ordered to.
func (e *engine) busy() bool {
	return e.known && (e.state.Phase == PhaseLoading || !e.ordered.IsZero())
}

// NextOrder returns the order to send now. If there is none, Waiting tells
// why.
func (p *Pool) NextOrder(now time.Time) (Target, Order, bool) {
	p.reason = p.gate(now)
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
		i = p.claim(views, now)
	}
	if i < 0 {
		return Target{}, Order{}, false
	}
	t := p.engines[p.ids[i]].target
	return t, Order{Fence: p.term.Fence, Incarnation: t.Incarnation, Desired: p.spec.Desired}, true
}

// claim returns an engine that is in the desired state but would still accept
// an order of an older term, or -1. An order for the state that it has makes it
// refuse those from then on.
func (p *Pool) claim(views []view, now time.Time) int {
	if p.spec.Fencing != FencingChecked {
		return -1
	}
	return slices.IndexFunc(views, func(v view) bool {
		return v.class == classDone && v.fence < p.term.Fence && !now.Before(v.nextTry)
	})
}

// Waiting returns why the last NextOrder returned none.
func (p *Pool) Waiting() Reason { return p.reason }

// gate holds back every order until the term is safe to act in.
func (p *Pool) gate(now time.Time) Reason {
	switch {
	case !p.active || p.fenced:
		return ReasonNotIssuer
	case p.waitsOut(now):
		return ReasonWaitingOut
	case p.ledger.behind(p.spec, p.hash):
		return ReasonBehind
	case !p.ledger.has(p.hash):
		return ReasonUnrecorded
	}
	return ReasonNone
}

// waitsOut says that orders of the term before may still be on their way to
// engines that would obey them.
func (p *Pool) waitsOut(now time.Time) bool {
	return p.spec.Fencing != FencingChecked && now.Before(p.began.Add(p.limits.OrderTimeout+p.limits.Settle))
}

func (p *Pool) halt(c counts) {
	if p.halted == "" && halts(c, p.limits) {
		p.halted = strings.Join(p.failures(), "; ")
	}
}

// failures lists the engines given up, with their errors.
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

func (p *Pool) views() []view {
	views := make([]view, len(p.ids))
	for i, id := range p.ids {
		e := p.engines[id]
		c, gaveUp := e.class(p.spec.Desired), e.attempts >= p.limits.MaxAttempts
		views[i] = view{
			class:   c,
			serving: e.known && e.state.Phase == PhaseReady && e.ordered.IsZero(),
			busy:    e.busy(),
			weights: !e.state.Current.SameWeights(p.spec.Desired),
			unread:  !e.known && e.readFails < unreachableReads,
			tried:   c == classLoading || e.attempts > 0 && !gaveUp,
			gaveUp:  gaveUp,
			nextTry: e.nextTry,
			fence:   e.state.Fence,
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

// Sent takes the outcome of an order.
func (p *Pool) Sent(id string, err error, now time.Time) {
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

// Observe takes the outcome of a read.
func (p *Pool) Observe(id string, s State, err error, now time.Time) {
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
	p.settle(e, was, now)
	e.nextRead = now.Add(p.readEvery(e))
}

// settle compares an engine's state with the order outstanding.
func (p *Pool) settle(e *engine, was class, now time.Time) {
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

func (p *Pool) failed(e *engine, why Retry, msg string, now time.Time) {
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

// backoff doubles with each failure.
func (p *Pool) backoff(failures int) time.Duration {
	const maxDoublings = 16
	return min(p.limits.MaxBackoff, p.limits.Backoff<<min(failures-1, maxDoublings))
}
