package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/overload"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/retry"
)

// cooldownJitter spreads the retries of callers that were refused while all targets were in a
// cooldown, that is, had asked this node for no requests for some time. Otherwise the first
// target that accepts requests again would get all of the retries at once.
const cooldownJitter = 250 * time.Millisecond

// noPathRetryAfter is the Retry-After for callers of a partitioned node, since other nodes can serve them
// at once; up to noPathJitter is added.
const (
	noPathRetryAfter = 10 * time.Millisecond
	noPathJitter     = 40 * time.Millisecond
)

var (
	errNoTarget    = errors.New("no target of the service is left")
	errEvacuated   = errors.New("the targets of the service that are left are in evacuated failure domains")
	errOutside     = errors.New("the targets of the service that are left are in regions where this request may not go")
	errCoolingDown = errors.New("the targets of the service that are left have asked this node for no requests for a while")
	errCold        = errors.New("the targets of the service that are left are still warming up and bear no more requests now")
	errAtQuota     = errors.New("the targets of the service that are left end if they reject too much, and this node's quota of their slots is taken")
	errSuspectBusy = errors.New("a copy of this request is being run, and targets ended under earlier ones")
)

// noTargetFailure returns the failure of a request that no target may get now.
func (x *exchange) noTargetFailure(d overload.Decision) *failure {
	f := &failure{reason: problem.NoTarget, retryAfter: d.RetryAfter}
	switch d.Reason {
	case overload.OverCapacity:
		f.reason = problem.Saturated
	case overload.Surging:
		f.reason = problem.WorkspaceLimit
	case overload.None:
		f.cause = x.router.pool.noTargetReason(x.criteria())
		switch {
		case errors.Is(f.cause, errVersionGone):
			f.reason, f.final = problem.StreamVersionGone, !x.router.replica.StoreUnreachable()
		case errors.Is(f.cause, errAtQuota):
			f.reason, f.retryAfter = problem.Saturated, x.router.pool.rejectAtQuota(x.service, x.call.Deadline)
		}
		return f
	}
	if x.router.pool.usesShares(x.service) {
		f.cause = errors.Newf("%.2f of these requests are admitted: demand %.0f, capacity %.0f, running %.0f, counted %d, own %d, slots %d", d.Share, d.Demand, d.Capacity, d.Estimate, d.Load.Running, d.Load.Own,
			d.Load.Slots)
		return f
	}
	f.cause = errors.Newf("%.2f of the places are taken, limit %.2f: running %.0f, counted %d, own %d, slots %d, may wait %.2f a slot",
		d.Utilization, d.Limit, d.Estimate, d.Load.Running, d.Load.Own, d.Load.Slots, d.QueuePerSlot)
	return f
}

// conclude ends a request whose last attempt failed.
func (x *exchange) conclude(ctx context.Context, fail *failure, v retry.Verdict) error {
	if v == retry.BudgetEmpty && fail.progress <= retry.Refused {
		fail = &failure{progress: fail.progress, reason: problem.RetryBudgetExhausted, cause: fail.cause}
	}
	return x.giveUp(ctx, fail)
}

// giveUp ends a request that no further attempt is made for. It delivers the answer of a target
// that failed the request, if there is one, whatever the outcome of later attempts; else it
// returns a refusal.
func (x *exchange) giveUp(ctx context.Context, f *failure) error {
	if x.held != nil && !x.answerBegun && !x.callerGone() {
		x.deliver(x.held)
		return nil
	}
	return x.refusal(ctx, f)
}

// refusal returns the refusal for a failure. It states that the request was not run only if no
// target may have run it.
func (x *exchange) refusal(ctx context.Context, f *failure) error {
	ran := problem.MayHaveRun
	if x.executions == 0 {
		ran = problem.NotRun
	}
	reason, cause := f.reason, f.cause
	if errors.Is(context.Cause(ctx), errStopping) {
		cause = errStopping
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = problem.DeadlineExceeded
	case errors.Is(cause, errStopping) && (ran == problem.NotRun || x.answerBegun):
		reason = problem.NodeStopping
	case reason == problem.TargetFailed && ran == problem.NotRun:
		reason = problem.TargetRefused
	case ran != problem.NotRun && reason != problem.DeadlineExceeded:
		reason = problem.TargetFailed
	}
	if ran == problem.NotRun && x.lacksPath(reason) {
		reason = problem.NoPath
	}
	p := problem.New(reason, ran, cause.Error())
	if ran == problem.NotRun && !f.final {
		p.WithRetryAfter(x.retryAfter(f))
	}
	return p
}

// lacksPath reports whether the cause of a refusal for another reason is that this node has no path to
// the service's targets.
func (x *exchange) lacksPath(reason problem.Reason) bool {
	switch reason {
	case problem.NoTarget, problem.TargetRefused, problem.Saturated, problem.WorkspaceLimit, problem.RetryBudgetExhausted:
		return x.router.pool.outOfReach(x.service)
	}
	return false
}

func (x *exchange) retryAfter(f *failure) time.Duration {
	if x.router.pool.paths.IsPartitioned() && x.router.pool.outOfReach(x.service) {
		return noPathRetryAfter + rand.N(noPathJitter)
	}
	if f.retryAfter > 0 {
		return f.retryAfter
	}
	left, _ := x.remaining()
	// A retry by the caller may use the targets that were already tried.
	if cooldown := x.router.pool.shortestCooldown(criteria{service: x.service, regions: x.regions, began: x.began}); cooldown > 0 {
		return cooldown + rand.N(cooldownJitter)
	}
	return x.router.pool.retryAfter(x.service, left)
}
