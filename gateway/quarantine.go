package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/routing"
	"github.com/knapweedgw/knapweedgw/targets"
	"github.com/knapweedgw/knapweedgw/upstream"
)

// probeTimeout bounds the dial that checks whether a request terminated its target. It allows
// for many round trips within a region.
const probeTimeout = 50 * time.Millisecond

// GuardSource provides the node's quarantine guard, which is shared with the service that
// exchanges quarantine records with other nodes.
type GuardSource interface{ Guard() *quarantine.Guard }

// guardedRequest reports a request's attempts to the quarantine guard.
type guardedRequest struct {
	*quarantine.Attempts
	guard  *quarantine.Guard
	target targets.Target // of the last attempt
}

func (g *Gateway) newGuardedRequest(c *call, f forwardRequest) *guardedRequest {
	identify := func() quarantine.Keys {
		request := quarantine.Request{
			Caller: c.workspace.Team + "/" + c.workspace.Name, Method: f.method,
			Host: f.admission.Pool.Name, URI: f.path + "?" + f.query, Body: f.body,
		}
		return quarantine.NewKeys(request.Fingerprint(), f.admission.Pool.Name, f.parts)
	}
	return &guardedRequest{Attempts: g.guard.NewAttempts(c.id, identify), guard: g.guard}
}

// begin returns a refusal if the guard forbids the request to run now. After a nil error the
// caller must call End.
func (r *guardedRequest) begin() error {
	d := r.Begin()
	switch d.Verdict {
	case quarantine.SuspectInProgress:
		return problem.New(problem.SuspectInProgress, problem.NotRun, "").WithRetryAfter(d.RetryAfter)
	case quarantine.Quarantined:
		return problem.New(problem.Quarantined, problem.NotRun, d.Cause.Describe()).WithRetryAfter(d.RetryAfter)
	case quarantine.Allowed:
	}
	return nil
}

// receive records a part of the target's response. A nil guardedRequest, of a stream that its caller takes up again,
// records nothing.
func (r *guardedRequest) receive() {
	if r != nil {
		r.Receive()
	}
}

// startAttempt records the target and the start time of an attempt.
func (r *guardedRequest) startAttempt(t targets.Target) {
	r.target = t
	r.Send()
}

// recordAttempt reports the outcome of an attempt to the guard. status is that of the response if fail is nil.
func (r *guardedRequest) recordAttempt(ctx context.Context, status int, fail *attemptError) {
	switch {
	case fail == nil && status < http.StatusMultipleChoices:
		r.End(quarantine.Succeeded)
	case fail == nil || fail.response != nil:
		r.End(quarantine.Completed)
	default:
		if closedByTarget(ctx, fail) {
			r.recordDisconnect()
		}
		r.End(quarantine.Failed)
	}
}

// recordDisconnect handles a connection that the target closed before its response was complete.
// If the target no longer accepts connections, the request is reported as a suspect of its
// termination.
func (r *guardedRequest) recordDisconnect() {
	s := r.Suspect()
	s.Closed = clock.Monotonic()
	if !refusesConnections(r.target.Addr) {
		return
	}
	run := routing.Rank(uint64(r.target.Incarnation), routing.Hash(r.target.ID))
	r.guard.RecordTermination(r.target.ID, run, []quarantine.Suspect{s})
}

// closedByTarget reports whether the target closed the connection of a request that it may have
// begun to run.
func closedByTarget(ctx context.Context, fail *attemptError) bool {
	var timeout interface{ Timeout() bool }
	timedOut := errors.As(fail.cause, &timeout) && timeout.Timeout()
	return fail.progress >= retry.Sent && fail.reason == problem.TargetFailed &&
		ctx.Err() == nil && !timedOut && !upstream.IsLocal(fail.cause)
}

// refusesConnections reports whether nothing listens at an address any more. This distinguishes
// a terminated target from one that only lost a response.
func refusesConnections(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, probeTimeout)
	if err == nil {
		_ = conn.Close() // only shows that the target is still running
		return false
	}
	return upstream.IsRefused(err)
}
