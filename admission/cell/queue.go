package cell

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/returns"
	"github.com/knapweedgw/knapweedgw/worktime"
)

// queueDeviations is worktime.Queue.Deviations of a cell. What waits goes to whichever place is free, so a longer queue
// seldom leaves one empty.
const queueDeviations = 4

// queue has the requests that wait for a place of a cell, and the statistics that decide their
// order.
type queue struct {
	cfg QueueConfig
	// waiting is sorted by compareWaiters: the order within one class.
	waiting  []*waiter
	byID     map[requestKey]*waiter
	arrivals uint64
	ranked   []*waiter // buffer of Cell.rank
	settled  []Settled
	// settledAt is the time of the last settlement.
	settledAt time.Time
	// clearAt is, for each urgency, the last time at which no request of it or a higher one waited, and
	// byUrgency the number of those that wait.
	clearAt   [urgencies]time.Time
	byUrgency [urgencies]int
	// recheck is set if a request may have moved back in the order, or if places are gone.
	recheck bool
	share   float64
	flows   flows
	hold    worktime.Estimate // the time for which a place is held
	returns *returns.Schedule
}

type requestKey struct {
	holder  Holder
	request string
}

// waiter is a request in the queue.
type waiter struct {
	AcquireRequest
	arrival   uint64 // number of the arrival
	arrivedAt time.Time
	latest    time.Time // latest start
	workspace *workspaceFlow
	// The following fields are for Cell.rank. latestNanos is latest in Unix nanoseconds.
	latestNanos int64
	urgency     class
	class       class
	over        bool // the workspace holds more than its fair share of the places
	done        bool // decided or canceled, to be removed
}

func newQueue() *queue {
	return &queue{
		byID: make(map[requestKey]*waiter), share: 1, flows: newFlows(), hold: worktime.NewEstimate(holdSamples),
		// A fixed seed keeps simulations reproducible. Return times need to be spread among the
		// callers of one cell only.
		returns: returns.New(returns.DefaultConfig(), rand.New(rand.NewPCG(1, 1))),
	}
}

// configureQueue adds, changes or removes the queue. Requests that wait in a queue that is removed
// get the outcome Full.
func (c *Cell) configureQueue(cfg *QueueConfig) {
	switch {
	case cfg == nil && c.queue != nil:
		c.refuseAll(c.queue.settledAt, ReasonSaturated)
		c.settled = append(c.settled, c.queue.settled...)
		c.queue = nil
	case cfg != nil && c.queue == nil:
		c.queue = newQueue()
		fallthrough
	case cfg != nil:
		c.queue.cfg = *cfg
		c.queue.cfg.MaxWaiting = orDefault(cfg.MaxWaiting, DefaultQueueConfig().MaxWaiting)
	}
}

// compareWaiters sorts by the latest start: who has less time left comes first.
func compareWaiters(a, b *waiter) int {
	if d := a.latest.Compare(b.latest); d != 0 {
		return d
	}
	return cmp.Compare(a.arrival, b.arrival)
}

// acquireQueued decides a request in a cell with a queue: it gets a free place, waits for one, or is
// refused if it can't start in time.
func (c *Cell) acquireQueued(now time.Time, a AcquireRequest) Decision {
	q := c.queue
	if _, waits := q.byID[requestKey{a.Holder, a.Request}]; waits {
		return Decision{Outcome: Waiting}
	}
	// The place is on an excluded target, or the caller would have got it again.
	c.Release(a.Holder, a.Request)
	c.settle(now) // earlier requests come first
	if c.recovery.recovering() {
		return Decision{Outcome: Full, Reason: ReasonRecovering, RetryAfter: retryAfter(now, a)}
	}
	c.shares.setWeight(a.Workspace, a.Weight)
	ws := q.flows.arrive(now, &a)
	if i := c.freeTarget(now, &a); i >= 0 {
		return c.grantQueued(now, a, i, ws)
	}
	w := c.insert(now, a, ws)
	c.refuseLate(now, w)
	if !w.done {
		return Decision{Outcome: Waiting}
	}
	i := slices.IndexFunc(q.settled, func(s Settled) bool { return s.Request == a.Request && s.Holder == a.Holder })
	d := q.settled[i].Decision
	q.settled = slices.Delete(q.settled, i, i+1)
	return d
}

func (c *Cell) grantQueued(now time.Time, a AcquireRequest, i int, ws *workspaceFlow) Decision {
	s := &c.slots[i]
	if s.isCold(now) {
		s.nextGrant = now.Add(s.coldInterval(c.queue.share))
	}
	c.queue.flows.grant(&a, ws)
	return c.grant(now, a, s)
}

func (c *Cell) insert(now time.Time, a AcquireRequest, ws *workspaceFlow) *waiter {
	q := c.queue
	q.arrivals++
	w := &waiter{
		AcquireRequest: a, arrival: q.arrivals, arrivedAt: now, workspace: ws, urgency: class(clampUrgency(a.Urgency)),
	}
	w.latest = now.Add(c.maxWait(now, w))
	w.latestNanos = w.latest.UnixNano()
	ws.waiting++
	q.byUrgency[w.urgency]++
	i, _ := slices.BinarySearchFunc(q.waiting, w, compareWaiters)
	q.waiting = slices.Insert(q.waiting, i, w)
	q.byID[requestKey{a.Holder, a.Request}] = w
	q.recheck = true
	return w
}

// maxWait returns the time within which a request that arrives now must start.
func (c *Cell) maxWait(now time.Time, w *waiter) time.Duration {
	q := c.queue
	work := q.hold.Bound()
	queue := worktime.Queue{Places: c.grantable(), Work: work, Deviations: queueDeviations, Busy: now.Sub(q.clearAt[w.urgency])}
	return queue.MaxWait(w.Remaining, work)
}

// Settle returns the decisions on waiting requests since the last call, in the order in which they
// were made. Call it after each other method that may free a place, and at NextDeadline.
func (c *Cell) Settle(now time.Time) []Settled {
	out := c.settled
	c.settled = nil
	if c.queue == nil {
		return out
	}
	c.settle(now)
	out = append(out, c.queue.settled...)
	c.queue.settled = c.queue.settled[:0]
	// A place may have been released or dropped after its grant.
	return slices.DeleteFunc(out, func(s Settled) bool {
		_, held := c.places[s.Holder][s.Request]
		return s.Decision.Outcome == Granted && !held
	})
}

// settle grants the free places to waiting requests in their order, then refuses those that can't
// start in time.
func (c *Cell) settle(now time.Time) {
	q := c.queue
	q.flows.advance(now)
	q.settledAt = now
	c.checkPause(now)
	defer q.recordClear(now)
	if len(q.waiting) == 0 {
		return
	}
	if c.recovery.recovering() {
		c.refuseAll(now, ReasonRecovering)
		return
	}
	for len(q.waiting) > 0 && c.grantNext(now) {
	}
	if len(q.waiting) > 0 && (q.recheck || !now.Before(q.earliest())) {
		c.refuseLate(now, nil)
	}
}

// recordClear records for which urgencies no request waits. A shortage of one urgency is none of the
// higher ones, which are served before it.
func (q *queue) recordClear(now time.Time) {
	for u := 0; u < urgencies && q.byUrgency[u] == 0; u++ {
		q.clearAt[u] = now
	}
}

// grantNext grants a place to the first request in the order that may use a free one. It reports
// whether there was one.
func (c *Cell) grantNext(now time.Time) bool {
	if c.freeTarget(now, &AcquireRequest{}) < 0 {
		return false
	}
	c.classify(now)
	var first *waiter
	target := -1
	for _, w := range c.queue.waiting {
		if first != nil && w.class >= first.class {
			continue
		}
		if i := c.freeTarget(now, &w.AcquireRequest); i >= 0 {
			first, target = w, i
		}
	}
	if first == nil {
		return false
	}
	c.decide(now, first, c.grantQueued(now, first.AcquireRequest, target, first.workspace))
	c.queue.removeDone()
	return true
}

// refuseLate refuses the waiting requests that can't start in time, given their positions, and the
// last ones in the order beyond the maximum length. A request that has just arrived, if any, is
// refused itself if its equal could no longer start in time behind it: a request that waits is put
// back only for a more urgent one, or for one below its fair share.
func (c *Cell) refuseLate(now time.Time, arrival *waiter) {
	q := c.queue
	q.recheck = false
	e := c.newEstimate(now)
	at, usable, position := now.UnixNano(), c.hasUsable(nil), 0
	ahead := false // the arrival comes before the request
	for _, w := range c.rank(now) {
		if !usable || len(w.Exclude) > 0 && !c.hasUsable(w.Exclude) {
			c.decide(now, w, Decision{Outcome: Full, Reason: ReasonNoTarget, RetryAfter: retryAfter(now, w.AcquireRequest)})
			continue
		}
		startIn := e.startIn(position, w.Exclude)
		if w == arrival || ahead && w.isEqual(arrival) {
			startIn += e.spread(position)
		}
		if position >= q.cfg.MaxWaiting || at+int64(startIn) >= w.latestNanos {
			if ahead && w.isEqual(arrival) {
				c.decide(now, arrival, c.refusal(now, arrival, &e))
				q.removeDone()
				c.refuseLate(now, nil)
				return
			}
			c.decide(now, w, c.refusal(now, w, &e))
			continue
		}
		position++
		ahead = ahead || w == arrival
	}
	q.removeDone()
}

// isEqual reports whether neither the urgency nor the fair shares of workspaces put one of two requests before the
// other.
func (w *waiter) isEqual(v *waiter) bool {
	return w.urgency == v.urgency && (w.workspace == v.workspace || w.class == v.class)
}

func (c *Cell) refusal(now time.Time, w *waiter, e *estimate) Decision {
	d := Decision{Outcome: Refused, Reason: ReasonSaturated}
	if w.over {
		d.Reason = ReasonWorkspaceLimit
	}
	spare := 0.0
	if c.queue.hold.Known() {
		spare = max(e.perSecond-c.queue.flows.demandUpTo(now, w.Urgency), 0)
	}
	remaining := w.Remaining
	if remaining != 0 {
		remaining = max(remaining-now.Sub(w.arrivedAt), 1)
	}
	d.RetryAfter = c.queue.returns.Next(now, w.Urgency, spare, remaining)
	return d
}

// refuseAll tells all waiting requests to decide by other means.
func (c *Cell) refuseAll(now time.Time, r Reason) {
	for _, w := range c.queue.waiting {
		c.decide(now, w, Decision{Outcome: Full, Reason: r, RetryAfter: retryAfter(now, w.AcquireRequest)})
	}
	c.queue.removeDone()
}

func (c *Cell) decide(now time.Time, w *waiter, d Decision) {
	c.queue.finish(w)
	c.queue.settled = append(c.queue.settled, Settled{
		Holder: w.Holder, Request: w.Request, Decision: d, Waited: now.Sub(w.arrivedAt),
	})
}

// finish marks a request to be removed by removeDone.
func (q *queue) finish(w *waiter) {
	w.done = true
	w.workspace.waiting--
	q.byUrgency[w.urgency]--
	delete(q.byID, requestKey{w.Holder, w.Request})
}

func (q *queue) removeDone() {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool { return w.done })
}

// Cancel removes a waiting request whose node has given it up.
func (c *Cell) Cancel(h Holder, request string) {
	if c.queue == nil {
		return
	}
	if w, ok := c.queue.byID[requestKey{h, request}]; ok {
		c.queue.finish(w)
		c.queue.removeDone()
	}
}

func (c *Cell) cancelHolder(h Holder) {
	if c.queue == nil {
		return
	}
	for _, w := range c.queue.waiting {
		if w.Holder == h {
			c.queue.finish(w)
		}
	}
	c.queue.removeDone()
}

// NextDeadline returns the next time at which Settle must be called even if no place is freed before:
// a waiting request must be refused, or a target may be granted again that has just started or was
// suspended. ok is false if no request waits.
func (c *Cell) NextDeadline() (at time.Time, ok bool) {
	q := c.queue
	if q == nil || len(q.waiting) == 0 {
		return time.Time{}, false
	}
	at = q.earliest()
	for i := range c.slots {
		if t := c.nextGrantAt(i); t.After(q.settledAt) && t.Before(at) {
			at = t
		}
	}
	return at, true
}

// earliest returns the first of the latest starts of the waiting requests.
func (q *queue) earliest() time.Time { return q.waiting[0].latest }

// SetShare sets the fraction of each target's places that the cell grants. It is less than 1 while
// another node also acts as the owner.
func (c *Cell) SetShare(fraction float64) {
	if c.queue == nil || c.queue.share == fraction {
		return
	}
	c.queue.share, c.queue.recheck = fraction, true
}

// QueueLength returns the number of waiting requests.
func (c *Cell) QueueLength() int {
	if c.queue == nil {
		return 0
	}
	return len(c.queue.waiting)
}
