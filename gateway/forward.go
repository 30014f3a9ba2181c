package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/admission"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/targets"
)

const targetRetryAfter = time.Second

// forwardRequest is a checked request on its way to a target.
type forwardRequest struct {
	admission  admission.Request
	method     string
	path       string
	query      string
	body       []byte
	stream     bool
	repeatable bool
}

// attemptError is a failed attempt.
type attemptError struct {
	progress retry.Progress
	reason   problem.Reason
	cause    error
}

func (e *attemptError) Error() string { return string(e.reason) + ": " + e.cause.Error() }

// forward tries targets until one answers or no further attempt is allowed.
func (g *Gateway) forward(c *call, f forwardRequest) error {
	for number := 1; ; number++ {
		grant, err := g.admitter.Acquire(c.req.Context(), f.admission)
		if err != nil {
			return err
		}
		fail := g.attempt(c, f, grant)
		if fail == nil {
			return nil
		}
		a := retry.Attempt{Number: number, Progress: fail.progress, Repeatable: f.repeatable}
		if !retry.Allowed(a, g.cfg.MaxAttempts) {
			return refusal(fail)
		}
		g.metrics.retries.WithLabelValues(string(fail.reason)).Inc()
		c.log.Info("retry", "target", grant.Target.ID, "reason", fail.reason, "attempt", number)
		f.admission.Exclude = append(f.admission.Exclude, grant.Target.ID)
	}
}

func (g *Gateway) attempt(c *call, f forwardRequest, grant admission.Grant) *attemptError {
	defer grant.Release()
	ctx, cancel := context.WithCancel(c.req.Context())
	defer cancel()
	req, err := targetRequest(ctx, c, f, grant.Target)
	if err != nil {
		return &attemptError{retry.NotSent, problem.Internal, err}
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return &attemptError{sendProgress(err), problem.TargetFailed, err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		return &attemptError{retry.Refused, problem.TargetRefused, errors.Newf("status %d", resp.StatusCode)}
	}
	return g.relay(c, grant.Target, resp)
}

func targetRequest(ctx context.Context, c *call, f forwardRequest, t targets.Target) (*http.Request, error) {
	url := "http://" + t.Addr + f.path
	if f.query != "" {
		url += "?" + f.query
	}
	req, err := http.NewRequestWithContext(ctx, f.method, url, bytes.NewReader(f.body))
	if err != nil {
		return nil, err
	}
	for _, name := range forwardedHeaders {
		if v := c.req.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set(HeaderRequestID, c.id)
	// Without GetBody the transport never repeats the request by itself.
	req.GetBody = nil
	return req, nil
}

var forwardedHeaders = []string{
	"Accept", "Content-Type", HeaderPriority, HeaderIdempotencyKey, HeaderChatID,
}

func sendProgress(err error) retry.Progress {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return retry.NotSent
	}
	return retry.Sent
}

func refusal(e *attemptError) error {
	ran := problem.RanUnknown
	if e.progress <= retry.Refused {
		ran = problem.RanNo
	}
	return problem.New(e.reason, ran, e.cause.Error()).After(targetRetryAfter)
}
