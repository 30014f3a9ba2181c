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
	// maxKeptAnswer is the largest answer kept for callers that repeat a
	// key, in bytes.
	maxKeptAnswer = 64 << 10
)

// serve forwards a request, at most once if it carries an Idempotency-Key.
func (g *Gateway) serve(c *call, f forwardRequest) error {
	key, keyed := idempotencyKey(c.req)
	if !keyed {
		return g.forward(c, f)
	}
	if g.claimer == nil {
		return problem.New(problem.ClaimsUnavailable, problem.RanNo, "this node records no claims").After(claimRetryAfter)
	}
	v, err := g.claimer.Claim(c.req.Context(), claims.Key{
		Team: c.workspace.Team, Workspace: c.workspace.Name, Idempotency: key,
	}, fingerprint(f))
	if err != nil {
		return claimError(err)
	}
	if v.State != claims.Granted {
		return g.answerClaimed(c, v)
	}
	return g.forwardClaimed(c, f, v.Ticket)
}

// forwardClaimed runs the request once and records how that ended, also if it
// panics.
func (g *Gateway) forwardClaimed(c *call, f forwardRequest, ticket claims.Ticket) error {
	c.captured = &capture{}
	defer func() { ticket.Finish(c.claimOutcome()) }()
	f.repeatable = false
	f.gate = ticket.Valid
	return g.forward(c, f)
}

func (c *call) claimOutcome() (claims.Outcome, *claims.Answer) {
	switch {
	case c.captured.whole:
		return claims.Ran, c.captured.answer()
	case c.sent.Load():
		return claims.Lost, nil
	default:
		return claims.NotRun, nil
	}
}

// answerClaimed answers a request whose key was used before.
func (g *Gateway) answerClaimed(c *call, v claims.Verdict) error {
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
		return problem.New(problem.ClaimDone, problem.RanYes, "")
	case v.State == claims.InProgress:
		return problem.New(problem.ClaimInProgress, problem.RanUnknown, "").After(max(v.RetryAfter, time.Second))
	case v.State == claims.Mismatch:
		return problem.New(problem.ClaimConflict, problem.RanNo, "")
	default:
		return problem.New(problem.ClaimUnknown, problem.RanUnknown, "")
	}
}

func claimError(err error) error {
	var p *problem.Problem
	if errors.As(err, &p) {
		return p
	}
	return problem.New(problem.ClaimsUnavailable, problem.RanNo, err.Error()).After(claimRetryAfter)
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

// capture collects an answer up to maxKeptAnswer.
type capture struct {
	status      int
	contentType string
	body        []byte
	tooLarge    bool
	whole       bool
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
	if len(k.body)+len(p) > maxKeptAnswer {
		k.tooLarge, k.body = true, nil
		return
	}
	k.body = append(k.body, p...)
}

// end marks the answer as whole.
func (k *capture) end() {
	if k != nil {
		k.whole = true
	}
}

// answer returns nil if the answer is too large to keep.
func (k *capture) answer() *claims.Answer {
	if k.tooLarge {
		return nil
	}
	return &claims.Answer{Status: k.status, ContentType: k.contentType, Body: k.body}
}
