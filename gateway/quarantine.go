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

// probeWait is the longest that a request waits to learn whether it ended its target: many
// round trips within a region.
const probeWait = 50 * time.Millisecond

// GuardSource has the guard that this node shares with what tells other nodes of it.
type GuardSource interface{ Guard() *quarantine.Guard }

// guardedRequest is a request under the guard's eye.
type guardedRequest struct {
	guard       *quarantine.Guard
	id          string
	fingerprint quarantine.Fingerprint
	// counted says that the guard counts the attempt in progress, which went to target at
	// sent.
	counted bool
	target  targets.Target
	sent    time.Time
}

func (g *Gateway) guarded(c *call, f forwardRequest) *guardedRequest {
	return &guardedRequest{guard: g.guard, id: c.id, fingerprint: quarantine.Request{
		Caller: c.workspace.Team + "/" + c.workspace.Name, Method: f.method,
		Host: f.admission.Pool.Name, URI: f.path + "?" + f.query, Body: f.body,
	}.Fingerprint()}
}

// begin asks whether the request may be run. After a nil the caller must call done.
func (r *guardedRequest) begin() error {
	if !r.guard.Active() {
		return nil
	}
	d := r.guard.Begin(r.fingerprint)
	r.counted = d.Counted
	switch d.Verdict {
	case quarantine.Busy:
		return problem.New(problem.SuspectBusy, problem.RanNo, "").After(d.For)
	case quarantine.Quarantined:
		return problem.New(problem.Quarantined, problem.RanNo, "fingerprint "+r.fingerprint.String()).After(d.For)
	case quarantine.Free:
	}
	return nil
}

// done ends what begin began; more calls do nothing.
func (r *guardedRequest) done() {
	if r.counted {
		r.counted = false
		r.guard.Done(r.fingerprint)
	}
}

// sendTo begins an attempt.
func (r *guardedRequest) sendTo(t targets.Target) { r.target, r.sent = t, clock.Steady() }

// note takes the outcome of an attempt.
func (r *guardedRequest) note(ctx context.Context, fail *attemptError) {
	switch {
	case fail == nil || fail.answer != nil:
		r.completed()
	case closedByTarget(ctx, fail):
		r.cut()
	}
}

// completed is for a whole answer.
func (r *guardedRequest) completed() {
	if r.guard.Active() {
		r.guard.Completed(r.fingerprint)
	}
}

// cut is for a connection that the target closed before its answer was whole.
func (r *guardedRequest) cut() {
	closed := clock.Steady()
	if !refusesConnections(r.target.Addr) {
		return
	}
	run := routing.Rank(uint64(r.target.Incarnation), routing.Hash(r.target.ID))
	suspect := quarantine.Suspect{Request: r.id, Fingerprint: r.fingerprint, Sent: r.sent, Closed: closed}
	r.guard.Ended(r.target.ID, run, []quarantine.Suspect{suspect})
}

// closedByTarget says whether the target closed the connection of a request that it may
// have begun to run.
func closedByTarget(ctx context.Context, fail *attemptError) bool {
	var timeout interface{ Timeout() bool }
	timedOut := errors.As(fail.cause, &timeout) && timeout.Timeout()
	return fail.progress >= retry.Sent && fail.reason == problem.TargetFailed &&
		ctx.Err() == nil && !timedOut && !upstream.IsLocal(fail.cause)
}

// refusesConnections says whether nothing listens at an address any more. That tells the
// end of a target from a lost answer.
func refusesConnections(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, probeWait)
	if err == nil {
		_ = conn.Close() // it only shows that the target lives
		return false
	}
	return upstream.IsRefused(err)
}
