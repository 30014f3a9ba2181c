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

// A target may accept a request and never answer: its network failed, it hangs or its answer
// was lost. A request that may be retried then goes to another target while an answer can still
// be in time. For others, the missing answer still counts as a failure of the target.
const (
	// The weights of the newest sample and the number of deviations above the mean are those of
	// TCP's retransmission timeout (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
	// minTimeoutFactor and maxTimeoutFactor bound the timeout as multiples of the route's
	// target latency. Half of it leaves the same time for another attempt; beyond twice of it
	// the answer is late in any case.
	minTimeoutFactor = 0.5
	maxTimeoutFactor = 2
	// minSamples is the number of samples before the estimate is used.
	minSamples = 8
	// overdueFactor is the multiple of the target latency after which a target counts as
	// failing if its request may not be retried elsewhere. A smaller factor would also suspend
	// busy targets, and the parts that they keep would be recomputed by others.
	overdueFactor = 2.5
	// gapFraction is the fraction of a stream's maximum gap after which the stream is resumed
	// at another target: the rest of the gap is for that target's first event.
	gapFraction = 0.7
)

// replyTime estimates how long a route's targets take to send the first byte. The zero value
// has no samples.
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

// timeout returns how long an attempt may take to the first byte, given the route's target
// latency.
func (r *replyTime) timeout(target time.Duration) time.Duration {
	least := time.Duration(minTimeoutFactor * float64(target))
	most := time.Duration(maxTimeoutFactor * float64(target))
	if r.samples < minSamples {
		return most
	}
	estimate := time.Duration((r.mean + deviationFactor*r.deviation) * float64(time.Second))
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

func (t *replyTimes) timeout(r *catalog.Route) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byRoute[r.Name]
	if !ok {
		e = &replyTime{}
	}
	return e.timeout(r.TargetLatency)
}

// observeFirstByte adds the time to the first byte of the attempt in progress to the estimate.
func (x *exchange) observeFirstByte() {
	x.router.replies.observe(x.route, x.router.now().Sub(x.sentAt))
}

// overdueWatch cancels an attempt whose target is overdue, once the retry budget allows another
// attempt and there is a target for it. The zero value does nothing.
type overdueWatch struct {
	timer *time.Timer
	wait  time.Duration
	// reserve reserves what another attempt needs; if it returns false, the current attempt
	// continues.
	reserve func() bool
	cancel  context.CancelFunc

	mu    sync.Mutex
	state watchState
	// events counts the reads from the target.
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
	// The field is set before the timer can fire, since its function reads it.
	w.timer = time.AfterFunc(math.MaxInt64, w.overdue)
	w.timer.Reset(wait)
	return w
}

// overdue is called by the timer. If an answer or event arrives while it calls reserve, the
// attempt continues.
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

// event records data from the target and restarts the timer.
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

// ended reports whether the watch canceled the attempt.
func (w *overdueWatch) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state == watchFired
}

// watchReply watches for the first byte of an answer. If the request may not be retried
// elsewhere, an overdue target only counts as failing.
func (x *exchange) watchReply(a assignment, cancel context.CancelFunc) *overdueWatch {
	if x.route.TargetLatency <= 0 {
		return &overdueWatch{}
	}
	if x.mayRetryElsewhere() {
		wait := x.router.replies.timeout(x.route)
		return newOverdueWatch(wait, x.reserveFor(a, wait), cancel)
	}
	late := time.Duration(overdueFactor * float64(x.route.TargetLatency))
	return &overdueWatch{timer: time.AfterFunc(late, func() { x.router.pool.observe(a.member, health.Failed) })}
}

// mayRetryElsewhere reports whether the request could go to another target after the one in
// progress.
func (x *exchange) mayRetryElsewhere() bool {
	return x.route.Repeatable() && x.executions+1 < x.route.MaxAttempts
}

// watchGaps watches the gaps between the events of a stream that may be resumed at another
// target.
func (x *exchange) watchGaps(a assignment) *overdueWatch {
	if !x.mayResumeElsewhere() || x.route.MaxGap <= 0 {
		return &overdueWatch{}
	}
	wait := time.Duration(gapFraction * float64(x.route.MaxGap))
	return newOverdueWatch(wait, x.reserveFor(a, wait), x.attemptCancel)
}

// mayResumeElsewhere is mayRetryElsewhere for a request whose attempt in progress is already
// counted in executions.
func (x *exchange) mayResumeElsewhere() bool {
	return x.route.Repeatable() && x.executions < x.route.MaxAttempts
}

// Outcomes of an attempt that is overdue.
const (
	overdueRetried = "moves"
	// overdueNoTime: too little time is left for another attempt, or the maximum number of
	// attempts was made.
	overdueNoTime   = "no_time"
	overdueNoTarget = "no_target"
	overdueNoBudget = "no_budget"
)

// reserveFor returns the function that decides whether the attempt in progress may be canceled
// in favor of another one, which must have as much time as this one had. If an attempt were
// canceled first and no other allowed then, the answer of a target that is merely busy would be
// lost. In a load surge all targets are busy, the retry budget is soon used up and the other
// targets refuse. The returned function is called by a timer while the attempt is in progress.
func (x *exchange) reserveFor(a assignment, wait time.Duration) func() bool {
	tried := append(slices.Clone(x.tried), a.target.ID)
	last := x.tries >= maxTries
	return func() bool {
		outcome := x.reserve(tried, last, wait)
		x.router.metrics.overdue.WithLabelValues(outcome).Inc()
		return outcome == overdueRetried
	}
}

func (x *exchange) reserve(tried []string, last bool, wait time.Duration) string {
	left, _ := x.remaining()
	switch {
	case last || (!x.deadline.IsZero() && left < max(wait, minRemaining)):
		return overdueNoTime
	case !x.router.pool.hasOther(criteria{service: x.service, tried: tried, regions: x.regions, began: x.began}):
		return overdueNoTarget
	case !x.reserveRetry():
		return overdueNoBudget
	}
	return overdueRetried
}
