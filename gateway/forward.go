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
	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/targets"
	"github.com/knapweedgw/knapweedgw/upstream"
)

// forwardRequest is a checked request on its way to a target.
type forwardRequest struct {
	admission  admission.Request
	method     string
	path       string // escaped, as the caller sent it
	query      string
	body       []byte
	chat       bool // a chat completion at a model engine
	stream     bool // the caller asked for a stream
	repeatable bool
	// gate is asked right before the first byte is sent; nil for no gate.
	gate func() bool
}

// attemptError is a failed attempt.
type attemptError struct {
	progress retry.Progress
	reason   problem.Reason
	cause    error
	// answer is the target's own failure answer; nil for none.
	answer *heldAnswer
}

func (e *attemptError) Error() string { return string(e.reason) + ": " + e.cause.Error() }

// forward tries targets until one answers or no further attempt is allowed.
func (g *Gateway) forward(c *call, f forwardRequest) error {
	ctx, cancel := c.workContext(f.repeatable)
	defer cancel()
	g.budget.Request(time.Now())
	guarded := g.guarded(c, f)
	c.guarded = guarded
	defer guarded.done()
	for number := 1; ; number++ {
		if err := guarded.begin(); err != nil {
			return g.giveUp(ctx, c, err)
		}
		resting, rest := g.resting(f.admission.Pool.Pool)
		asked := f.admission
		asked.Exclude = slices.Concat(asked.Exclude, resting)
		grant, err := g.admitter.Acquire(ctx, asked)
		if err != nil {
			return g.giveUp(ctx, c, afterRest(err, rest))
		}
		guarded.sendTo(grant.Target)
		fail := g.attempt(ctx, c, f, grant)
		guarded.note(ctx, fail)
		guarded.done()
		if fail == nil {
			return nil
		}
		if fail.answer != nil {
			c.held = fail.answer
		}
		verdict := g.decide(ctx, f, number, fail)
		if verdict != retry.Again {
			return g.giveUp(ctx, c, refusal(fail, verdict))
		}
		g.metrics.retries.WithLabelValues(string(fail.reason)).Inc()
		c.log().Info("retry", "target", grant.Target.ID, "cause", fail, "attempt", number)
		f.admission.Exclude = append(f.admission.Exclude, grant.Target.ID)
		g.pause(ctx, number)
	}
}

func (g *Gateway) decide(ctx context.Context, f forwardRequest, number int, fail *attemptError) retry.Verdict {
	if errors.Is(fail.cause, upstream.ErrGateClosed) || ctx.Err() != nil {
		return retry.NotRepeatable
	}
	now := time.Now()
	verdict := retry.Decide(
		retry.Attempt{Number: number, Progress: fail.progress, Repeatable: f.repeatable, Remaining: remaining(ctx, now)},
		retry.Limits{MaxAttempts: g.cfg.MaxAttempts, MinRemaining: retryMinRemaining},
	)
	if verdict == retry.Again && retry.Charged(fail.progress) && !g.budget.Take(now) {
		return retry.BudgetEmpty
	}
	return verdict
}

// giveUp ends a request that no further attempt is made for: with the answer of a
// target that failed it, if there is one, whatever became of later attempts, else with
// a refusal.
func (g *Gateway) giveUp(ctx context.Context, c *call, err error) error {
	if c.held != nil && !c.w.wroteHeader && c.req.Context().Err() == nil {
		c.held.deliver(c)
		return nil
	}
	return g.refuse(ctx, c, err)
}

// refuse completes a refusal: whatever it says, a request that an earlier
// attempt may have run is never reported as not run, nor is its caller advised
// to repeat it.
func (g *Gateway) refuse(ctx context.Context, c *call, err error) error {
	var p *problem.Problem
	if !errors.As(err, &p) {
		p = problem.New(problem.Internal, problem.RanNo, err.Error())
	}
	switch {
	case c.req.Context().Err() != nil:
		p = problem.New(problem.CallerGone, p.Ran, p.Detail)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		p = problem.New(problem.DeadlineExceeded, p.Ran, p.Detail)
	}
	refused := *p
	if refused.Ran == problem.RanNo {
		refused.Ran = c.ran()
	}
	if refused.Ran != problem.RanNo {
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
		reason = problem.RetryBudget
	case v == retry.DeadlineNear:
		reason = problem.DeadlineExceeded
	}
	ran := problem.RanUnknown
	if e.progress <= retry.Refused {
		ran = problem.RanNo
	}
	return problem.New(reason, ran, e.cause.Error()).After(targetRetryAfter)
}

func (g *Gateway) pause(ctx context.Context, number int) {
	seeded := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	pause.Sleep(ctx, g.backoff.Pause(number, seeded))
}

// attempt sends the request to one target and relays the answer. While it
// runs, c.sent is true from the first byte on; a target's word that it ran
// nothing restores it.
func (g *Gateway) attempt(ctx context.Context, c *call, f forwardRequest, grant admission.Grant) *attemptError {
	result := admission.Failed // stays so if relayUnheld aborts a cut answer
	defer func() { grant.Release(result) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := c.sent.Load()
	fail := g.exchange(ctx, c, f, grant.Target)
	result = resultOf(ctx, c, fail)
	if fail != nil && fail.progress <= retry.Refused {
		c.sent.Store(before)
	}
	return fail
}

// resultOf says what an attempt shows of its target. A caller or deadline that
// ended the attempt shows nothing.
func resultOf(ctx context.Context, c *call, fail *attemptError) admission.Result {
	switch {
	case ctx.Err() != nil || c.req.Context().Err() != nil:
		return admission.Unknown
	case fail == nil:
		return admission.Answered
	case errors.Is(fail.cause, notice.ErrUnwanted):
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
		return &attemptError{progress: progress, reason: problem.TargetRefused, cause: notice.ErrUnwanted}
	}
	if err != nil {
		g.cancelIfGone(ctx, c, f, t, gen, progress)
		return &attemptError{progress: progress, reason: problem.TargetFailed, cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	g.hear(c, t, resp)
	if fail := refusedByTarget(f, t, resp); fail != nil {
		return fail
	}
	return g.relay(ctx, c, f, t, gen, resp)
}

// gate marks the request as sent, if its target still wants it and f's own gate lets it
// pass.
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

// maxRefusal is how much of a refusal is read to learn whether the request
// was run.
const maxRefusal = 64 << 10

// refusedByTarget says whether an answer counts as a failed attempt. A model
// engine answers 429 and 503 before it runs a request. A plain service may do
// so after a partial effect: its word counts as "not run" only if its answer
// is a problem document with "ran": "no". What may be repeated is repeated
// elsewhere; any other answer is the target's own and goes to the caller.
func refusedByTarget(f forwardRequest, t targets.Target, resp *http.Response) *attemptError {
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if f.chat || saysNotRun(resp) {
			return statusError(retry.Refused, problem.TargetRefused, resp)
		}
		if f.repeatable {
			return statusError(retry.Sent, problem.TargetRefused, resp)
		}
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		if f.repeatable {
			return failedByTarget(t, resp)
		}
	}
	return nil
}

func statusError(p retry.Progress, reason problem.Reason, resp *http.Response) *attemptError {
	return &attemptError{progress: p, reason: reason, cause: errors.Newf("status %d", resp.StatusCode)}
}

// saysNotRun reads the answer's problem document; the body can be read again
// afterwards.
func saysNotRun(resp *http.Response) bool {
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), problem.ContentType) {
		return false
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusal))
	resp.Body = &prefixedBody{io.MultiReader(bytes.NewReader(raw), resp.Body), resp.Body}
	if err != nil {
		return false
	}
	var p struct {
		Ran problem.Ran `json:"ran"`
	}
	return json.Unmarshal(raw, &p) == nil && p.Ran == problem.RanNo
}

type prefixedBody struct {
	io.Reader
	io.Closer
}

var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", "Range",
	HeaderPriority, HeaderIdempotencyKey, HeaderChatID,
}

// targetRequest builds the request for t. It has no GetBody, so that the
// transport doesn't repeat it.
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
