package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/pause"
)

const (
	// unreadyNoticed is when balancers have taken an unready node out: two
	// checks, one a second, and their answers.
	unreadyNoticed = 2500 * time.Millisecond
	// stopMargin is left between the end of the last request and SIGKILL.
	stopMargin = 300 * time.Millisecond
	// refuseMargin is left before that for refusals to requests whose targets are
	// silent: a write, on a node that waits for its processor.
	refuseMargin = 200 * time.Millisecond
	stopPoll     = 50 * time.Millisecond
	// stopRetryAfter is for callers whose next node can serve them at once.
	stopRetryAfter = 10 * time.Millisecond
)

// errStopping ends the work of a node whose grace time is over.
var errStopping = errors.New("the node stops")

// Drain implements kernel.Drainer: the node is no longer ready, and answers
// ask callers to close their connections. Every request is still served.
func (r *Router) Drain(context.Context) error {
	r.draining.Store(true)
	r.log.Info("router drains", "in_flight", r.inFlight.Load())
	return nil
}

// Stop implements kernel.Stopper. Requests are served until the balancer has
// surely noticed; then the listener and the idle connections are closed, busy ones
// after their answers, and what still comes on those is refused, so that it goes to
// other nodes. What is in
// progress has the rest of the grace time. A node that serves new requests to the
// end of its grace time would cut the long ones off, where the balancer uses unready
// nodes because few others are ready, and on connections that its callers go on
// using.
func (r *Router) Stop(ctx context.Context) error {
	begun := r.now()
	deadline := begun.Add(r.cfg.Grace - stopMargin)
	noticed := begun.Add(min(unreadyNoticed, r.cfg.Grace/3))
	pause.Sleep(ctx, noticed.Sub(begun))
	err := r.frontListener.Close()
	r.awaitConns(ctx, deadline.Add(-refuseMargin))
	r.stopped.Store(true)
	r.endWork(errStopping)
	r.awaitConns(ctx, deadline)
	r.log.Info("router stops", "in_flight", r.inFlight.Load(), "connections", r.conns.count())
	_ = r.ready.Close() // a readiness check that fails now is what it asks
	return errors.CombineErrors(err, r.front.Close())
}

// awaitConns lets callers' connections end until the deadline.
func (r *Router) awaitConns(ctx context.Context, deadline time.Time) {
	for {
		r.conns.close()
		if r.conns.count() == 0 || !r.now().Before(deadline) || ctx.Err() != nil {
			return
		}
		pause.Sleep(ctx, stopPoll)
	}
}
