package gateway

import (
	"context"
	"net"
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
	guard       *quarantine.Guard
	id          string
	fingerprint quarantine.Fingerprint
	// counted is true while the guard counts the attempt in progress, which was sent to target
	// at sent.
	counted bool
	target  targets.Target
	sent    time.Time
}

func (g *Gateway) newGuardedRequest(c *call, f forwardRequest) *guardedRequest {
	return &guardedRequest{guard: g.guard, id: c.id, fingerprint: quarantine.Request{
		Caller: c.workspace.Team + "/" + c.workspace.Name, Method: f.method,
		Host: f.admission.Pool.Name, URI: f.path + "?" + f.query, Body: f.body,
	}.Fingerprint()}
}

// begin returns a refusal if the guard forbids the request to run now. After a nil error the
// caller must call done.
func (r *guardedRequest) begin() error {
	if !r.guard.HasEntries() {
		return nil
	}
	d := r.guard.Begin(r.fingerprint)
	r.counted = d.MustCallDone
	switch d.Verdict {
	case quarantine.SuspectInProgress:
		return problem.New(problem.SuspectInProgress, problem.NotRun, "").WithRetryAfter(d.RetryAfter)
	case quarantine.Quarantined:
		return problem.New(problem.Quarantined, problem.NotRun, "fingerprint "+r.fingerprint.String()).WithRetryAfter(d.RetryAfter)
	case quarantine.Allowed:
	}
	return nil
}

// done ends the attempt that begin started. Further calls do nothing.
func (r *guardedRequest) done() {
	if r.counted {
		r.counted = false
		r.guard.Done(r.fingerprint)
	}
}

// startAttempt records the target and the start time of an attempt.
func (r *guardedRequest) startAttempt(t targets.Target) { r.target, r.sent = t, clock.Monotonic() }

// recordAttempt reports the outcome of an attempt to the guard.
func (r *guardedRequest) recordAttempt(ctx context.Context, fail *attemptError) {
	switch {
	case fail == nil || fail.response != nil:
		r.recordCompleted()
	case closedByTarget(ctx, fail):
		r.recordDisconnect()
	}
}

// recordCompleted reports a complete response.
func (r *guardedRequest) recordCompleted() {
	if r.guard.HasEntries() {
		r.guard.RecordCompleted(r.fingerprint)
	}
}

// recordDisconnect handles a connection that the target closed before its response was complete.
// If the target no longer accepts connections, the request is reported as a suspect of its
// termination.
func (r *guardedRequest) recordDisconnect() {
	closed := clock.Monotonic()
	if !refusesConnections(r.target.Addr) {
		return
	}
	run := routing.Rank(uint64(r.target.Incarnation), routing.Hash(r.target.ID))
	suspect := quarantine.Suspect{Request: r.id, Fingerprint: r.fingerprint, Sent: r.sent, Closed: closed}
	r.guard.RecordTermination(r.target.ID, run, []quarantine.Suspect{suspect})
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
