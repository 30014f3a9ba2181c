package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/admission"
	"github.com/knapweedgw/knapweedgw/notice"
	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/socket"
	"github.com/knapweedgw/knapweedgw/targets"
	"github.com/knapweedgw/knapweedgw/upstream"
)

// forwardRequest is a validated request to be sent to a target.
type forwardRequest struct {
	admission  admission.Request
	method     string
	path       string // with the caller's escaping
	query      string
	body       []byte
	chat       bool     // a chat completion, for a model engine
	parts      []uint64 // hashes of the messages that other chats may share
	stream     bool     // the caller requested a stream
	repeatable bool     // the request may run more than once
	// gate is called right before the first byte is sent and returns false to prevent sending;
	// nil for no gate.
	gate func() bool
}

// attemptError is a failed attempt.
type attemptError struct {
	progress retry.Progress
	reason   problem.Reason
	cause    error
	// response is the target's own failure response, read completely; nil for none.
	response *heldResponse
}

func (e *attemptError) Error() string { return string(e.reason) + ": " + e.cause.Error() }

// forward tries targets until one responds or no further attempt is allowed.
func (g *Gateway) forward(c *call, f forwardRequest) error {
	ctx, cancel := c.workContext(f.repeatable)
	defer cancel()
	budget := g.newRetryBudget(c, f.admission.Pool.Pool)
	defer budget.cancel()
	guarded := g.newGuardedRequest(c, f)
	c.guarded = guarded
	defer guarded.End(quarantine.Failed)
	for number := 1; ; number++ {
		if err := guarded.begin(); err != nil {
			return g.giveUp(ctx, c, err)
		}
		coolingDown, cooldown := g.coolingDown(f.admission.Pool.Pool)
		admissionRequest := f.admission
		admissionRequest.Exclude = slices.Concat(admissionRequest.Exclude, coolingDown)
		grant, err := g.admitter.Acquire(ctx, admissionRequest)
		if err != nil {
			return g.giveUp(ctx, c, withCooldown(err, cooldown))
		}
		if !budget.charge() {
			grant.Release(admission.Unknown)
			spent := problem.New(problem.RetryBudgetExhausted, c.ran(), retry.ErrBudgetSpent.Error())
			return g.giveUp(ctx, c, spent.WithRetryAfter(targetRetryAfter))
		}
		guarded.startAttempt(grant.Target)
		fail := g.attempt(ctx, c, f, grant)
		guarded.recordAttempt(ctx, c.w.status, fail)
		if fail == nil {
			return nil
		}
		if fail.response != nil {
			c.held = fail.response
		}
		verdict := g.decide(ctx, f, budget, number, fail)
		if verdict != retry.Allow {
			return g.giveUp(ctx, c, refusal(fail, verdict))
		}
		g.metrics.retries.WithLabelValues(string(fail.reason)).Inc()
		c.log().Info("retry", "target", grant.Target.ID, "cause", fail, "attempt", number)
		f.admission.Exclude = append(f.admission.Exclude, grant.Target.ID)
		g.pause(ctx, number)
	}
}

func (g *Gateway) decide(ctx context.Context, f forwardRequest, b *retryBudget, number int, fail *attemptError) retry.Verdict {
	if errors.Is(fail.cause, upstream.ErrGateClosed) || ctx.Err() != nil {
		return retry.NotRepeatable
	}
	now := time.Now()
	verdict := retry.Decide(
		retry.Attempt{Number: number, Progress: fail.progress, Repeatable: f.repeatable, Remaining: remaining(ctx, now)},
		retry.Limits{MaxAttempts: g.cfg.MaxAttempts, MinRemaining: retryMinRemaining},
	)
	if verdict == retry.Allow && retry.DrawsOnBudget(fail.progress) && !b.reserve() {
		return retry.BudgetEmpty
	}
	return verdict
}

// giveUp ends a request without a further attempt. If a target responded with a failure, that
// response is delivered, whatever the result of later attempts; otherwise err is completed to a
// refusal.
func (g *Gateway) giveUp(ctx context.Context, c *call, err error) error {
	if c.held != nil && !c.w.wroteHeader && c.req.Context().Err() == nil {
		c.held.deliver(c)
		return nil
	}
	return g.refuse(ctx, c, err)
}

// refuse converts err to a refusal that is consistent with all attempts: if any target may have
// run the request, the refusal doesn't state "ran": "no" and has no Retry-After, which would
// advise the caller to repeat the request.
func (g *Gateway) refuse(ctx context.Context, c *call, err error) error {
	var p *problem.Problem
	if !errors.As(err, &p) {
		p = problem.New(problem.Internal, problem.NotRun, err.Error())
	}
	switch {
	case c.req.Context().Err() != nil:
		p = problem.New(problem.CallerGone, p.Execution, p.Detail)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		p = problem.New(problem.DeadlineExceeded, p.Execution, p.Detail)
	}
	refused := *p
	if refused.Execution == problem.NotRun {
		refused.Execution = c.ran()
	}
	if refused.Execution != problem.NotRun {
		refused.RetryAfter = 0
	}
	return &refused
}

func refusal(e *attemptError, v retry.Verdict) error {
	reason := e.reason
	switch {
	case errors.Is(e.cause, upstream.ErrGateClosed):
		reason = problem.ClaimsUnavailable
	case v == retry.BudgetEmpty:
		reason = problem.RetryBudgetExhausted
	case v == retry.DeadlineNear:
		reason = problem.DeadlineExceeded
	}
	ran := problem.MayHaveRun
	if e.progress <= retry.Refused {
		ran = problem.NotRun
	}
	return problem.New(reason, ran, e.cause.Error()).WithRetryAfter(targetRetryAfter)
}

func (g *Gateway) pause(ctx context.Context, number int) {
	seeded := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	pause.Sleep(ctx, g.backoff.Pause(number, seeded))
}

// attempt sends the request to one target and relays the response. c.sent becomes true before
// the first byte is sent. Its earlier value is restored if no byte was sent, or if the target
// states that it ran nothing.
func (g *Gateway) attempt(ctx context.Context, c *call, f forwardRequest, grant admission.Grant) *attemptError {
	result := admission.Failed // remains if relayUnbuffered panics on a truncated response
	defer func() { grant.Release(result) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := c.sent.Load()
	fail := g.exchange(ctx, c, f, grant.Target)
	result = resultOf(ctx, c, fail)
	if g.lacksPath(fail) {
		result = admission.Unknown
	}
	if fail != nil && fail.progress <= retry.Refused {
		c.sent.Store(before)
	}
	return fail
}

// resultOf returns what an attempt reveals about its target, for admission. An attempt ended by
// its caller or by the deadline reveals nothing.
func resultOf(ctx context.Context, c *call, fail *attemptError) admission.Result {
	switch {
	case ctx.Err() != nil || c.req.Context().Err() != nil:
		return admission.Unknown
	case fail == nil:
		return admission.Answered
	case errors.Is(fail.cause, notice.ErrTargetDeclined):
		return admission.Unknown
	case fail.reason == problem.TargetRefused:
		return admission.Overloaded
	case errors.Is(fail.cause, upstream.ErrGateClosed) || fail.reason != problem.TargetFailed:
		return admission.Unknown
	}
	return admission.Failed
}

func (g *Gateway) exchange(ctx context.Context, c *call, f forwardRequest, t targets.Target) *attemptError {
	gen := newGeneration(c, t)
	req, err := g.targetRequest(ctx, c, f, t, gen)
	if err != nil {
		return &attemptError{progress: retry.NotSent, reason: problem.Internal, cause: err}
	}
	resp, progress, err := g.clients.forRequest(f.repeatable).Do(req, g.gate(c, f, t))
	if errors.Is(err, upstream.ErrGateClosed) && !g.notices.maySend(t, time.Now()) {
		return &attemptError{progress: progress, reason: problem.TargetRefused, cause: notice.ErrTargetDeclined}
	}
	if err != nil {
		g.cancelIfGone(ctx, c, f, t, gen, progress)
		return &attemptError{progress: progress, reason: problem.TargetFailed, cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	g.processNotices(c, t, resp)
	if fail := g.classifyResponse(ctx, c, f, t, resp); fail != nil {
		return fail
	}
	return g.relay(ctx, c, f, t, gen, resp)
}

// gate returns a function that marks the request as sent and returns true, unless the target has
// meanwhile announced that it is leaving or asked for a cooldown, or f's own gate refuses.
func (g *Gateway) gate(c *call, f forwardRequest, t targets.Target) func() bool {
	return func() bool {
		if !g.notices.maySend(t, time.Now()) {
			return false
		}
		if f.gate != nil && !f.gate() {
			return false
		}
		c.sent.Store(true)
		return true
	}
}

// maxRefusalBody is how much of a refusal's body is parsed for its "ran" member, in bytes, and refusalTime how long
// it may take to arrive: many round trips within a region.
const (
	maxRefusalBody = 64 << 10
	refusalTime    = 250 * time.Millisecond
)

// classifyResponse returns an error if a response counts as a failed attempt, else nil. Model
// engines respond with 429 or 503 only before they run a request. A plain service may respond so
// after a partial effect, so its refusal counts as "not run" only if the response is a problem
// document with "ran": "no". A failed attempt of a repeatable request is retried on another
// target. Any other response is delivered to the caller as the target's own.
func (g *Gateway) classifyResponse(
	ctx context.Context, c *call, f forwardRequest, t targets.Target, resp *http.Response,
) *attemptError {
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		notRun, ended := f.chat, true
		if !f.chat {
			notRun, ended = declaresNotRun(resp)
		}
		if notRun {
			return statusError(retry.Refused, problem.TargetRefused, resp)
		}
		if !ended {
			return statusError(retry.Sent, problem.TargetFailed, resp)
		}
		if f.repeatable {
			return statusError(retry.Sent, problem.TargetRefused, resp)
		}
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		if f.repeatable {
			return g.holdFailure(ctx, c, t, resp)
		}
	}
	return nil
}

func statusError(p retry.Progress, reason problem.Reason, resp *http.Response) *attemptError {
	return &attemptError{progress: p, reason: reason, cause: errors.Newf("status %d", resp.StatusCode)}
}

// declaresNotRun reports whether the response is a problem document with "ran": "no", and whether such a document
// ended in time. If it did, or the response is none, the body can be read again afterwards.
func declaresNotRun(resp *http.Response) (notRun, ended bool) {
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), problem.ContentType) {
		return false, true
	}
	raw, ended := socket.ReadWithin(resp.Body, maxRefusalBody, refusalTime)
	if !ended && len(raw) <= maxRefusalBody {
		return false, false
	}
	resp.Body = &prefixedBody{io.MultiReader(bytes.NewReader(raw), resp.Body), resp.Body}
	var p struct {
		Ran problem.Execution `json:"ran"`
	}
	return json.Unmarshal(raw, &p) == nil && p.Ran == problem.NotRun, true
}

type prefixedBody struct {
	io.Reader
	io.Closer
}

var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", "Range",
	HeaderPriority, HeaderIdempotencyKey, HeaderChatID,
}

// targetRequest builds the request for t. GetBody is nil so that net/http's transport doesn't
// repeat the request.
func (g *Gateway) targetRequest(
	ctx context.Context, c *call, f forwardRequest, t targets.Target, gen generation,
) (*http.Request, error) {
	url := "http://" + t.Addr + f.path
	if f.query != "" {
		url += "?" + f.query
	}
	var body io.Reader = http.NoBody
	if len(f.body) > 0 {
		body = bytes.NewReader(f.body)
	}
	req, err := http.NewRequestWithContext(ctx, f.method, url, body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	for _, name := range forwardedHeaders {
		if v := c.req.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set(HeaderRequestID, c.id)
	if f.chat {
		req.Header.Set(HeaderRequestID, gen.id)
	}
	if hold := g.resumeHold(c); f.stream && hold > 0 {
		req.Header.Set(HeaderResumeHold, strconv.Itoa(int(hold/time.Second)))
	}
	if left := remaining(ctx, time.Now()); left != retry.NoDeadline {
		req.Header.Set(HeaderRequestTimeout, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	}
	return req, nil
}
