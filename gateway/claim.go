package gateway

import (
	"crypto/sha256"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/claims"
	"github.com/knapweedgw/knapweedgw/problem"
)

const (
	claimRetryAfter = 2 * time.Second
	// maxStoredResponse is the largest response stored for repeated requests with the same
	// Idempotency-Key, in bytes.
	maxStoredResponse = 64 << 10
)

// serve forwards a request. A request with an Idempotency-Key is claimed first and run at most
// once.
func (g *Gateway) serve(c *call, f forwardRequest) error {
	key, keyed := idempotencyKey(c.req)
	if !keyed {
		return g.forward(c, f)
	}
	if g.claimer == nil {
		return problem.New(problem.ClaimsUnavailable, problem.NotRun, "this node records no claims").WithRetryAfter(claimRetryAfter)
	}
	v, err := g.claimer.Claim(c.req.Context(), claims.Key{
		Team: c.workspace.Team, Workspace: c.workspace.Name, Idempotency: key,
	}, fingerprint(f))
	if err != nil {
		return claimError(err)
	}
	if v.State != claims.Granted {
		return g.respondToDuplicate(c, v)
	}
	return g.forwardClaimed(c, f, v.Ticket)
}

// forwardClaimed runs the request once and records its outcome, also after a panic.
func (g *Gateway) forwardClaimed(c *call, f forwardRequest, ticket claims.Ticket) error {
	c.captured = &capture{}
	defer func() { ticket.Finish(c.claimOutcome()) }()
	f.repeatable = false
	f.gate = ticket.Valid
	return g.forward(c, f)
}

func (c *call) claimOutcome() (claims.Outcome, *claims.Answer) {
	switch {
	case c.captured.complete:
		return claims.Ran, c.captured.response()
	case c.sent.Load():
		return claims.PossiblyRun, nil
	default:
		return claims.NotRun, nil
	}
}

// respondToDuplicate responds to a request whose Idempotency-Key was used before: with the stored
// response, or with a refusal.
func (g *Gateway) respondToDuplicate(c *call, v claims.Verdict) error {
	switch {
	case v.State == claims.Done && v.Answer != nil:
		g.metrics.replays.Inc()
		h := c.w.Header()
		h.Set("Content-Type", v.Answer.ContentType)
		h.Set(HeaderReplayed, "true")
		c.w.WriteHeader(v.Answer.Status)
		_, _ = c.w.Write(v.Answer.Body)
		return nil
	case v.State == claims.Done:
		return problem.New(problem.ClaimAnswerExpired, problem.WasRun, "")
	case v.State == claims.InProgress:
		return problem.New(problem.ClaimInProgress, problem.MayHaveRun, "").WithRetryAfter(max(v.RetryAfter, time.Second))
	case v.State == claims.Mismatch:
		return problem.New(problem.ClaimConflict, problem.NotRun, "")
	default:
		return problem.New(problem.ClaimUnknown, problem.MayHaveRun, "")
	}
}

func claimError(err error) error {
	var p *problem.Problem
	if errors.As(err, &p) {
		return p
	}
	return problem.New(problem.ClaimsUnavailable, problem.NotRun, err.Error()).WithRetryAfter(claimRetryAfter)
}

func fingerprint(f forwardRequest) claims.Fingerprint {
	d := sha256.New()
	for _, part := range []string{f.method, f.path, f.query} {
		_, _ = d.Write([]byte(part))
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(f.body)
	return claims.Fingerprint(d.Sum(nil)[:len(claims.Fingerprint{})])
}

// capture collects a response of up to maxStoredResponse bytes. Its methods begin, add and end
// do nothing on a nil capture.
type capture struct {
	status      int
	contentType string
	body        []byte
	tooLarge    bool
	complete    bool
}

func (k *capture) begin(status int, contentType string) {
	if k != nil {
		k.status, k.contentType = status, contentType
	}
}

func (k *capture) add(p []byte) {
	if k == nil || k.tooLarge {
		return
	}
	if len(k.body)+len(p) > maxStoredResponse {
		k.tooLarge, k.body = true, nil
		return
	}
	k.body = append(k.body, p...)
}

// end marks the response as complete.
func (k *capture) end() {
	if k != nil {
		k.complete = true
	}
}

// response returns the captured response, or nil if it is too large to store.
func (k *capture) response() *claims.Answer {
	if k.tooLarge {
		return nil
	}
	return &claims.Answer{Status: k.status, ContentType: k.contentType, Body: k.body}
}
