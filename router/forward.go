package router

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/affinity"
	"github.com/knapweedgw/knapweedgw/catalog"
	"github.com/knapweedgw/knapweedgw/completion"
	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/notice"
	"github.com/knapweedgw/knapweedgw/overload"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/socket"
	"github.com/knapweedgw/knapweedgw/upstream"
)

const (
	// maxTries is the maximum number of targets tried for one request, including those that
	// were unreachable or refused it without running it.
	maxTries = 4
	// minRemaining is the minimum time left that is worth another attempt: a round trip and the
	// first step of an engine.
	minRemaining = 60 * time.Millisecond
	// maxBufferedAnswer is how much of an unstreamed answer is read before any of it is
	// delivered, in bytes. Larger answers, and those for which there is no room, are delivered as
	// they arrive.
	maxBufferedAnswer = 1 << 20
	// maxHeldFailure is the largest answer of a failed target that is held while the request is
	// retried, in bytes. Each retried request in progress holds one. A larger answer is
	// delivered as it arrives, and the request is not retried.
	maxHeldFailure = 64 << 10
	// heldMargin is the part of the caller's time reserved for the delivery of a held answer:
	// its transfer to the caller, on a node that is short of CPU.
	heldMargin = 40 * time.Millisecond
)

// failure describes a failed attempt.
type failure struct {
	progress retry.Progress
	reason   problem.Reason
	cause    error
	// retryAfter is the Retry-After for the caller, 0 to compute it.
	retryAfter time.Duration
	// final means that the same request can't succeed later.
	final bool
	// stale means that nothing was sent for a reason that is no evidence against the target: a
	// kept connection was closed, or the target has meanwhile announced that it wants no more
	// requests.
	stale bool
	// local means that the node itself lacked a resource, so that no other target would help.
	local bool
	// overdue means that the target was abandoned only because it took too long.
	overdue bool
	// callerGone means that nothing is known of the target, since the caller disconnected first.
	callerGone bool
	// probed is closed when the target has been probed after it closed the connection; nil if
	// it did not close it.
	probed <-chan struct{}
}

// forward tries targets until one answers or no further attempt is allowed.
func (x *exchange) forward() error {
	ctx, cancel := x.workContext()
	defer cancel()
	if fail := x.resolveOrigin(ctx); fail != nil {
		return x.giveUp(ctx, fail)
	}
	x.attempts = x.router.guard.NewAttempts(x.call.ID, x.keys)
	window := x.router.budgets.Window(x.service)
	window.Request(x.start)
	x.reservation = window.NewReservation()
	defer x.reservation.Cancel()
	for {
		if _, expired := x.remaining(); expired {
			return x.giveUp(ctx, &failure{reason: problem.DeadlineExceeded, cause: context.DeadlineExceeded})
		}
		if fail := x.beginAttempt(); fail != nil {
			return x.giveUp(ctx, fail)
		}
		a, fail := x.acquire(ctx)
		if fail != nil {
			x.endAttempt()
			return x.giveUp(ctx, fail)
		}
		fail = x.attempt(ctx, a)
		x.endAttempt()
		if fail == nil {
			return nil
		}
		verdict := x.decide(ctx, fail)
		if verdict != retry.Allow {
			return x.conclude(ctx, fail, verdict)
		}
		x.logRetry(a, fail)
		x.awaitProbe(ctx, fail)
		if !fail.stale {
			x.tried = append(x.tried, a.target.ID)
		}
		if fail.overdue {
			x.overdue = a.target.ID
		}
	}
}

// acquire picks the target of the next attempt.
func (x *exchange) acquire(ctx context.Context) (assignment, *failure) {
	if x.router.pool.dispatched(x.service) {
		return x.acquirePlace(ctx)
	}
	a, admission, ok := x.acquireByCounts()
	if !ok {
		return a, x.noTargetFailure(admission)
	}
	return a, nil
}

// acquireByCounts picks a target by the nodes' counts. If the other targets refuse or none is
// left, the request goes back to a target that it abandoned as overdue, since that one had
// accepted it.
func (x *exchange) acquireByCounts() (a assignment, d overload.Decision, ok bool) {
	crit := x.criteria()
	if x.overdue == "" || x.tries < maxTries-1 {
		a, d, ok = x.router.pool.acquire(crit)
		if !ok && len(crit.avoided) > 0 { // better a version that has just appeared than none
			crit.avoided = nil
			a, d, ok = x.router.pool.acquire(crit)
		}
		if ok || x.overdue == "" {
			return a, d, ok
		}
	}
	crit.only, x.overdue = x.overdue, ""
	return x.router.pool.acquire(crit)
}

func (x *exchange) criteria() criteria {
	left, _ := x.remaining()
	return criteria{
		service: x.service, parts: x.parts(), tried: x.tried, regions: x.regions,
		began: x.began, avoided: x.avoidedOrigins(),
		request: overload.Request{
			Class: x.route.Name, Workspace: x.workspace, Priority: x.priority,
			Remaining: left, Started: x.answerBegun || x.executions > 0 || x.began != "",
		},
	}
}

// parts returns the prompt parts that placement uses.
func (x *exchange) parts() []affinity.Part {
	if !x.route.PromptRouting {
		return nil
	}
	return x.call.PromptParts
}

func (x *exchange) logRetry(a assignment, f *failure) {
	x.router.metrics.retries.WithLabelValues(string(f.reason)).Inc()
	x.router.log.Info("retry", append([]any{
		"request", x.call.ID, "target", a.target.ID, "version", a.target.Version, "reason", f.reason,
		"progress", int(f.progress), "cause", f.cause, "tries", x.tries, "runs", x.executions, "begun", x.answerBegun,
	}, x.budgetFields()...)...)
}

// decide decides whether another attempt is allowed after fail.
func (x *exchange) decide(ctx context.Context, fail *failure) retry.Verdict {
	if ctx.Err() != nil {
		return retry.DeadlineNear
	}
	if errors.Is(fail.cause, retry.ErrBudgetSpent) {
		return retry.BudgetEmpty
	}
	if fail.local || x.tries >= maxTries {
		return retry.AttemptsUsed
	}
	left := retry.NoDeadline
	if !x.deadline.IsZero() {
		left, _ = x.remaining()
	}
	verdict := retry.Decide(
		retry.Attempt{Number: x.executions, Progress: fail.progress, Repeatable: x.route.Repeatable(), Remaining: left},
		retry.Limits{MaxAttempts: max(x.route.MaxAttempts, 1), MinRemaining: minRemaining},
	)
	if verdict == retry.Allow && retry.DrawsOnBudget(fail.progress) && !x.reserveRetry() {
		return retry.BudgetEmpty
	}
	return verdict
}

// attempt sends the request to one target and relays the answer.
func (x *exchange) attempt(ctx context.Context, a assignment) (fail *failure) {
	x.place = a.place
	defer func() {
		x.releasePlace(fail)
		x.router.pool.release(a, fail == nil)
	}()
	ctx, cancelDelivery := x.deliveryContext(ctx)
	defer cancelDelivery()
	x.tries++
	x.charged, x.overBudget = false, false
	x.sentAt = x.router.now()
	x.attempts.Send()
	x.summary.target, x.summary.version = a.target.ID, a.target.Version
	x.summary.running, x.summary.limit = a.choice.Running, a.choice.Limit
	x.summary.kept, x.summary.reason = a.choice.CachedTokens, a.choice.Reason
	x.summary.conn, x.summary.ending, x.summary.probed = nil, "", 0
	x.received = completion.Body{}
	x.router.metrics.countPartTokens(a.choice, x.sharedTokens())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := x.targetRequest(ctx, a)
	if err != nil {
		return &failure{progress: retry.NotSent, reason: problem.Internal, cause: err}
	}
	w := x.watchReply(a, cancel)
	req = req.WithContext(upstream.WithConn(ctx, func(c upstream.ConnInfo) { x.summary.conn = c }))
	gate := func() bool { return x.router.pool.maySend(a.target) && x.chargeSend() }
	resp, progress, err := a.member.client().Do(req, gate)
	w.stop()
	if progress >= retry.Sent {
		x.executions++
		x.arrived = true
	}
	var reply ReplyHeader
	if err == nil {
		reply = x.router.dialect.DecodeReplyHeader(resp.StatusCode, resp.Header)
		x.recordNotice(a, reply, resp.StatusCode)
	}
	if err == nil && w.ended() {
		// The header arrived while the attempt was being canceled; its body cannot be read.
		_ = resp.Body.Close()
		err = errNoReply
	}
	if err != nil {
		return x.sendFailed(ctx, a, progress, err, w.ended())
	}
	defer func() { _ = resp.Body.Close() }()
	x.attemptCancel = cancel
	return x.takeReply(ctx, a, reply, resp)
}

// sendFailed classifies a send that got no answer and records the outcome.
func (x *exchange) sendFailed(ctx context.Context, a assignment, p retry.Progress, err error, overdue bool) *failure {
	f := &failure{progress: p, reason: problem.TargetFailed, cause: err}
	switch {
	case errors.Is(err, upstream.ErrGateClosed) && x.overBudget:
		f.cause, f.stale = retry.ErrBudgetSpent, true
	case errors.Is(err, upstream.ErrGateClosed):
		f.cause, f.stale = notice.ErrTargetDeclined, true
	case overdue:
		// The wait is recorded doubled: otherwise the estimate would only contain answers that
		// arrived in time. It is no evidence against the target, which may be reading a long
		// prompt.
		x.router.replies.observe(x.route, 2*x.router.now().Sub(x.sentAt))
		f.cause, f.overdue = errNoReply, true
	case ctx.Err() != nil:
		// The caller disconnected or its deadline passed. Only in the latter case is it a
		// failure of the target, which had most of that time.
		f.callerGone = x.req.Context().Err() != nil
		if !f.callerGone {
			x.router.pool.observe(a.member, health.Failed)
		}
	case upstream.IsLocal(err):
		f.local, f.reason = true, problem.Saturated
	case upstream.IsRefused(err):
		x.router.pool.connectionRefused(a.member)
	case upstream.IsDial(err):
		x.router.pool.observe(a.member, health.Unreachable)
	case isTimeout(err):
		x.router.pool.connectionTimedOut(a.member)
	case p == retry.NotSent:
		f.stale = true
	default:
		x.router.pool.observe(a.member, health.Failed)
		x.closedByTarget(a, f)
	}
	return f
}

var errNoReply = errors.New("no answer within the time of one attempt")

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout() && !errors.Is(err, context.DeadlineExceeded)
}

// targetRequest builds the request for a target, with the caller's method, path and body.
func (x *exchange) targetRequest(ctx context.Context, a assignment) (*http.Request, error) {
	if x.bodyDropped {
		return nil, errBodyDropped
	}
	x.sent = newSentBody(x.body)
	req := &http.Request{
		Method: x.req.Method, URL: targetURL(a.target.Addr, x.req), Host: x.req.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header:        make(http.Header, len(x.req.Header)+4),
		ContentLength: int64(len(x.body)),
		Body:          upstream.NonReplayableBody(x.sent),
	}
	left, _ := x.remaining()
	s := TargetHeader{
		Target: a.target.ID, Remaining: left, Workspace: x.workspace, Priority: x.priority,
		LastEventID: x.call.LastEventID,
	}
	if from := a.choice.FetchFrom; from != nil {
		s.FetchFrom = from.Addr
		x.summary.fetchFrom = from.ID
	}
	if x.lastEvent != "" {
		s.LastEventID = x.lastEvent
	}
	x.router.dialect.EncodeTargetHeader(req.Header, x.req.Header, s)
	return req.WithContext(ctx), nil
}

// targetURL preserves the request target byte for byte. URL.Opaque does so unless it begins
// with two slashes.
func targetURL(addr string, req *http.Request) *url.URL {
	u := &url.URL{Scheme: "http", Host: addr, Opaque: req.RequestURI}
	if !strings.HasPrefix(req.RequestURI, "/") || strings.HasPrefix(req.RequestURI, "//") {
		u = &url.URL{
			Scheme: "http", Host: addr, Path: req.URL.Path, RawPath: req.URL.RawPath, RawQuery: req.URL.RawQuery,
		}
	}
	return u
}

// takeReply checks the header of an answer and relays the answer.
func (x *exchange) takeReply(ctx context.Context, a assignment, reply ReplyHeader, resp *http.Response) *failure {
	x.observeFirstByte()
	if x.summary.firstByte == 0 {
		x.summary.firstByte = x.router.now().Sub(x.start)
		x.router.metrics.firstByte.WithLabelValues(x.service).Observe(x.summary.firstByte.Seconds())
	}
	if reply.HasLoad {
		x.router.pool.report(a.member, reply.Running)
	}
	if reply.HasRejectionLimit && reply.isFromTarget(resp.StatusCode, x.call.ID) {
		x.router.pool.recordRejectionLimit(a, reply.RejectionLimit)
	}
	if reply.NotRun && (reply.ID == "" || reply.ID == x.call.ID) {
		return x.refusedByTarget(a, reply, resp)
	}
	if err := checkReply(reply, resp, x.call.ID); err != nil {
		x.router.pool.observe(a.member, health.Failed)
		a.member.closeIdle()
		return &failure{progress: retry.Sent, reason: problem.TargetFailed, cause: err}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return x.targetError(ctx, a, resp)
	}
	x.router.pool.observe(a.member, health.Answered)
	x.dropBody()
	x.succeeded = resp.StatusCode < http.StatusMultipleChoices
	return x.relay(ctx, a, resp)
}

// refusedByTarget handles an answer which states that the target did not run the request.
func (x *exchange) refusedByTarget(a assignment, reply ReplyHeader, resp *http.Response) *failure {
	x.executions--
	outcome := health.Refused
	if !socket.Drain(resp.Body) {
		outcome = health.Failed
	}
	if reply.WrongTarget {
		outcome = health.Unreachable
	}
	x.router.pool.observe(a.member, outcome)
	if resp.StatusCode == http.StatusServiceUnavailable {
		x.router.pool.recordRejection(a)
	}
	return &failure{
		progress: retry.Refused, reason: problem.TargetRefused,
		cause: errors.Newf("the target did not run the request: status %d", resp.StatusCode),
	}
}

// Errors of an answer that leave it unknown whether the request was run.
var (
	errOtherAnswer = errors.New("the answer belongs to another request")
	errUnsigned    = errors.New("the answer is no target's work")
	errEncoded     = errors.New("the answer is encoded, though nobody asked for that")
)

// checkReply returns an error if an answer cannot be the one to the request.
func checkReply(reply ReplyHeader, resp *http.Response, id string) error {
	switch {
	case reply.ID != id:
		return errOtherAnswer
	case resp.StatusCode < http.StatusMultipleChoices && !reply.Signed:
		return errUnsigned
	case resp.Header.Get("Content-Encoding") != "":
		return errEncoded
	}
	return nil
}

// targetError handles a target's 5xx answer. If the request may be retried, the answer is held
// while other targets are tried.
func (x *exchange) targetError(ctx context.Context, a assignment, resp *http.Response) *failure {
	x.router.pool.observe(a.member, health.Failed)
	x.received.Start(resp, false)
	body, whole, err := x.intake.ReadAnswer(&x.received, maxHeldFailure)
	fail := &failure{progress: retry.Sent, reason: problem.TargetFailed, cause: errOrStatus(err, resp)}
	switch {
	case err != nil || x.answerBegun || impliesNotRun(resp.StatusCode):
		return fail
	case !whole:
		return x.relayUnbuffered(ctx, a, resp, body)
	}
	x.releasePlace(fail) // before endAnswer, which reports an answer
	if broken := x.endAnswer(ctx, a); broken != nil {
		return broken
	}
	x.held = &bufferedAnswer{status: resp.StatusCode, header: resp.Header, body: body}
	return fail
}

// deliveryContext returns a context that ends early enough to deliver the held answer, if there
// is one, in time. Streams are not limited: continuing what they have delivered is worth more
// than the held answer.
func (x *exchange) deliveryContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if x.held == nil || x.deadline.IsZero() || x.route.Kind == catalog.Streaming {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, x.deadline.Add(-heldMargin))
}

func errOrStatus(err error, resp *http.Response) error {
	if err != nil {
		return err
	}
	return errors.Newf("status %d", resp.StatusCode)
}

// impliesNotRun reports whether callers take a status as the promise that the request was not
// run. A target that may have run the request cannot give that promise.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
