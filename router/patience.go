package router

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/catalog"
	"github.com/knapweedgw/knapweedgw/health"
)

// A target may take a request and never answer: it went dark, hangs or lost the
// answer. What may be sent again then goes elsewhere while an answer can still
// be on time, and what may not still shows that the target is bad.
const (
	// Weights of the newest sample, and the margin over the mean in deviations:
	// those of TCP's retransmission time-out (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	margin          = 4
	// minPatience and maxPatience bound the time-out in parts of the route's
	// target latency. Half leaves as much for another attempt; beyond twice the
	// answer is late anyhow.
	minPatience = 0.5
	maxPatience = 2
	// firstSamples is the number of samples before the estimate is used.
	firstSamples = 8
	// overdueFactor times the target latency is when a target that may not be
	// left counts as failing all the same. Sooner, busy targets would be
	// suspended too, and the parts that they keep read again elsewhere.
	overdueFactor = 2.5
	// gapPart is the part of a stream's longest pause after which the stream
	// goes on elsewhere: the rest is for the other target's first event.
	gapPart = 0.7
)

// replyTime estimates how long a route's targets take to their first byte. The
// zero replyTime has no sample.
type replyTime struct {
	mean, deviation float64 // in seconds
	samples         int
}

func (r *replyTime) observe(d time.Duration) {
	s := d.Seconds()
	r.samples++
	if r.samples == 1 {
		r.mean, r.deviation = s, s/2
		return
	}
	diff := s - r.mean
	r.deviation += deviationWeight * (max(diff, -diff) - r.deviation)
	r.mean += meanWeight * diff
}

// patience returns how long an attempt may take to its first byte.
func (r *replyTime) patience(target time.Duration) time.Duration {
	least := time.Duration(minPatience * float64(target))
	most := time.Duration(maxPatience * float64(target))
	if r.samples < firstSamples {
		return most
	}
	estimate := time.Duration((r.mean + margin*r.deviation) * float64(time.Second))
	return min(max(estimate, least), most)
}

// replyTimes holds the estimates of all routes.
type replyTimes struct {
	mu      sync.Mutex
	byRoute map[string]*replyTime
}

func newReplyTimes() *replyTimes { return &replyTimes{byRoute: make(map[string]*replyTime)} }

func (t *replyTimes) observe(r *catalog.Route, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byRoute[r.Name]
	if !ok {
		e = &replyTime{}
		t.byRoute[r.Name] = e
	}
	e.observe(d)
}

func (t *replyTimes) patience(r *catalog.Route) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byRoute[r.Name]
	if !ok {
		e = &replyTime{}
	}
	return e.patience(r.TargetLatency)
}

// noteFirstByte takes the time of the attempt in progress to its first byte.
func (x *exchange) noteFirstByte() {
	x.router.replies.observe(x.route, x.router.now().Sub(x.sentAt))
}

// overdueWatch ends an attempt whose target is overdue, once the retry budget allows
// another one and there is a target for it. The zero overdueWatch ends nothing.
type overdueWatch struct {
	timer *time.Timer
	wait  time.Duration
	// reserve takes what another attempt needs; false lets this one go on.
	reserve func() bool
	cancel  context.CancelFunc

	mu    sync.Mutex
	state watchState
	// events counts the target's signs of life.
	events int
}

type watchState int

const (
	watchWaits watchState = iota
	watchFired
	watchStopped
)

func newOverdueWatch(wait time.Duration, reserve func() bool, cancel context.CancelFunc) *overdueWatch {
	w := &overdueWatch{wait: wait, reserve: reserve, cancel: cancel}
	// Set before the timer can fire, which reads it.
	w.timer = time.AfterFunc(math.MaxInt64, w.overdue)
	w.timer.Reset(wait)
	return w
}

// overdue is called by the timer. An answer or event that comes while it reserves
// wins: the attempt goes on.
func (w *overdueWatch) overdue() {
	w.mu.Lock()
	events, waits := w.events, w.state == watchWaits
	w.mu.Unlock()
	if !waits {
		return
	}
	reserved := w.reserve()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != watchWaits || w.events != events {
		return
	}
	if !reserved {
		w.timer.Reset(w.wait)
		return
	}
	w.state = watchFired
	w.cancel()
}

// event says that the target showed a sign of life.
func (w *overdueWatch) event() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && w.state == watchWaits {
		w.events++
		w.timer.Reset(w.wait)
	}
}

func (w *overdueWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == watchWaits {
		w.state = watchStopped
	}
	if w.timer != nil {
		w.timer.Stop()
	}
}

// ended says whether the watch ended the attempt.
func (w *overdueWatch) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state == watchFired
}

// watchReply watches for the first byte of an answer. Where the request may not go
// elsewhere it only notes that the target is overdue.
func (x *exchange) watchReply(l lease, cancel context.CancelFunc) *overdueWatch {
	if x.route.TargetLatency <= 0 {
		return &overdueWatch{}
	}
	if x.mayMove() {
		wait := x.router.replies.patience(x.route)
		return newOverdueWatch(wait, x.reserveFor(l, wait), cancel)
	}
	late := time.Duration(overdueFactor * float64(x.route.TargetLatency))
	return &overdueWatch{timer: time.AfterFunc(late, func() { x.router.pool.observe(l.member, health.Failed) })}
}

// mayMove says whether the request could go to another target after the one in
// progress.
func (x *exchange) mayMove() bool {
	return x.route.Repeatable() && x.runs+1 < x.route.MaxAttempts
}

// watchGaps watches for the events of a stream that may go on elsewhere.
func (x *exchange) watchGaps(l lease) *overdueWatch {
	if !x.mayMoveOn() || x.route.MaxGap <= 0 {
		return &overdueWatch{}
	}
	wait := time.Duration(gapPart * float64(x.route.MaxGap))
	return newOverdueWatch(wait, x.reserveFor(l, wait), x.attemptCancel)
}

// mayMoveOn is mayMove for a request whose attempt in progress is counted.
func (x *exchange) mayMoveOn() bool { return x.route.Repeatable() && x.runs < x.route.MaxAttempts }

// Outcomes of an attempt that is overdue.
const (
	overdueMoves = "moves"
	// overdueNoTime: another attempt could not be waited for, or there were too
	// many already.
	overdueNoTime   = "no_time"
	overdueNoTarget = "no_target"
	overdueNoBudget = "no_budget"
)

// reserveFor returns what decides whether the attempt in progress may be ended for
// another one, which is to have as long as this one had. An attempt that is ended
// first and finds no other allowed would lose the answer of a target that is only
// busy, as all are in a surge: there the retry budget is soon used up, and the other
// targets refuse. The returned function is called by a timer while the attempt is in
// progress.
func (x *exchange) reserveFor(l lease, wait time.Duration) func() bool {
	tried := append(slices.Clone(x.tried), l.target.ID)
	last := x.tries >= maxTries
	return func() bool {
		outcome := x.reserve(tried, last, wait)
		x.router.metrics.overdue.WithLabelValues(outcome).Inc()
		return outcome == overdueMoves
	}
}

func (x *exchange) reserve(tried []string, last bool, wait time.Duration) string {
	left, _ := x.remaining()
	switch {
	case last || (!x.deadline.IsZero() && left < max(wait, minRemaining)):
		return overdueNoTime
	case !x.router.pool.hasOther(want{service: x.service, tried: tried, regions: x.regions}):
		return overdueNoTarget
	case !x.router.window(x.service).Take(x.router.now(), x.router.fleet.Lives()):
		return overdueNoBudget
	}
	x.reserved.Store(true)
	return overdueMoves
}
