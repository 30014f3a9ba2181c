package router

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/catalog"
	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/worktime"
)

// A target may accept a request and never answer: its network failed, it hangs or its answer
// was lost. A request that may be retried then goes to another target while the caller still has
// the time for it. For others, the missing answer still counts as a failure of the target.
const (
	// minReplySamples is the number of answers of a route before their times are used.
	minReplySamples = worktime.RFC6298
	// minReplyFactor is the smallest bound of the time to the first byte, as a multiple of its mean:
	// targets that are nearly full are slower by such a factor, however little the times differ.
	minReplyFactor = 2
	// failingFactor is the multiple of the bound after which a target counts as failing if its
	// request may not be retried elsewhere: that of a second expiry, as TCP doubles its timeout
	// (RFC 6298). A smaller one would also suspend busy targets, and the parts that they keep would
	// be recomputed by others.
	failingFactor = 3
	// Callers leave a stream that sends nothing for minStreamPatience, or for gapPatience times the
	// longest pause that its route allows if that is longer.
	minStreamPatience = 2 * time.Second
	gapPatience       = 8
)

// replyTimes has the times that the targets of all routes take to send the first byte.
type replyTimes struct {
	mu      sync.Mutex
	byRoute map[string]*worktime.Estimate
}

func newReplyTimes() *replyTimes { return &replyTimes{byRoute: make(map[string]*worktime.Estimate)} }

func (t *replyTimes) observe(r *catalog.Route, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byRoute[r.Name]
	if !ok {
		first := worktime.NewEstimate(worktime.RFC6298)
		e = &first
		t.byRoute[r.Name] = e
	}
	e.Observe(d)
}

// bound returns the time to the first byte that few answers of a route exceed, and its mean; 0 while too few are
// known.
func (t *replyTimes) bound(r *catalog.Route) (bound, mean time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.byRoute[r.Name]; ok {
		return replyBound(e), e.Mean()
	}
	return 0, 0
}

func replyBound(e *worktime.Estimate) time.Duration {
	if e.Samples() < minReplySamples {
		return 0
	}
	return max(e.Bound(), minReplyFactor*e.Mean())
}

// attemptTime returns how long an attempt may take to the first byte before another one is made: as long as few
// answers take, by their bound, 0 if unknown; but at most half of the time that the caller has left, 0 for no limit,
// so that the other attempt has as much. 0 means that nothing limits the attempt.
func attemptTime(bound, left time.Duration) time.Duration {
	switch {
	case left == 0:
		return bound
	case bound == 0:
		return left / 2
	}
	return min(bound, left/2)
}

// hasTimeFor reports whether the time that the caller has left is enough for another attempt: the usual time to the
// first byte, 0 if unknown.
func hasTimeFor(left, usual time.Duration) bool { return left >= max(usual, minRemaining) }

// gapTime returns how long a stream may pause before it goes on at another target: as long as a start there takes,
// by the bound of the time to the first byte, 0 if unknown; but at most half of the time after which the caller
// leaves.
func gapTime(bound time.Duration, r *catalog.Route) time.Duration {
	latest := max(minStreamPatience, gapPatience*r.MaxGap) / 2
	if bound == 0 {
		return latest
	}
	return min(bound, latest)
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
	bound, mean := x.router.replies.bound(x.route)
	if x.mayRetryElsewhere() {
		left, expired := x.remaining()
		if wait := attemptTime(bound, left); wait > 0 && !expired {
			return newOverdueWatch(wait, x.reserveFor(a, mean), cancel)
		}
		return &overdueWatch{}
	}
	if bound == 0 {
		return &overdueWatch{}
	}
	return &overdueWatch{timer: time.AfterFunc(failingFactor*bound, func() { x.router.pool.observe(a.member, health.Failed) })}
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
	bound, mean := x.router.replies.bound(x.route)
	return newOverdueWatch(gapTime(bound, x.route), x.reserveFor(a, mean), x.attemptCancel)
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
// in favor of another one, which must have the usual time to the first byte. If an attempt were
// canceled first and no other allowed then, the answer of a target that is merely busy would be
// lost. In a load surge all targets are busy, the retry budget is soon used up and the other
// targets refuse. The returned function is called by a timer while the attempt is in progress.
func (x *exchange) reserveFor(a assignment, usual time.Duration) func() bool {
	tried := append(slices.Clone(x.tried), a.target.ID)
	last := x.tries >= maxTries
	return func() bool {
		outcome := x.reserve(tried, last, usual)
		x.router.metrics.overdue.WithLabelValues(outcome).Inc()
		return outcome == overdueRetried
	}
}

func (x *exchange) reserve(tried []string, last bool, usual time.Duration) string {
	left, _ := x.remaining()
	x.beganMu.Lock()
	began := x.began
	x.beganMu.Unlock()
	switch {
	case last || !x.deadline.IsZero() && !hasTimeFor(left, usual):
		return overdueNoTime
	case !x.router.pool.hasOther(criteria{service: x.service, tried: tried, regions: x.regions, began: began}):
		return overdueNoTarget
	case !x.reserveRetry():
		return overdueNoBudget
	}
	return overdueRetried
}
