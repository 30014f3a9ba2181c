package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/pause"
)

const (
	// unreadyPropagation is the time after which load balancers have removed an unready node:
	// two checks, one per second, and their answers.
	unreadyPropagation = 2500 * time.Millisecond
	// stopMargin is left between the end of the last request and SIGKILL.
	stopMargin = 300 * time.Millisecond
	// refusalMargin is left before stopMargin to refuse requests whose targets do not answer:
	// time for a write on a node that is short of CPU.
	refusalMargin    = 200 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
	// stopRetryAfter is the Retry-After for callers whose next node can serve them at once.
	stopRetryAfter = 10 * time.Millisecond
)

// errStopping cancels the requests of a node whose grace period has ended.
var errStopping = errors.New("the node stops")

// Drain implements kernel.Drainer: the node reports unready, and its answers ask callers to
// close their connections. Every request is still served.
func (r *Router) Drain(context.Context) error {
	r.draining.Store(true)
	r.log.Info("router is draining", "in_flight", r.inFlight.Load())
	return nil
}

// Stop implements kernel.Stopper. Requests are served until the load balancer has certainly
// removed the node. Then the listener and the idle connections are closed, busy ones after
// their answers, and further requests on busy connections are refused, so that callers send
// them to other nodes. Requests in progress have the rest of the grace period. A node that
// served new requests until the end of its grace period would cut off the long ones, namely
// where the load balancer uses unready nodes because few others are ready, and on connections
// that callers keep using.
func (r *Router) Stop(ctx context.Context) error {
	started := r.now()
	deadline := started.Add(r.cfg.ShutdownGrace - stopMargin)
	removedAt := started.Add(min(unreadyPropagation, r.cfg.ShutdownGrace/3))
	pause.Sleep(ctx, removedAt.Sub(started))
	err := r.callerListener.Close()
	r.drainConns(ctx, deadline.Add(-refusalMargin))
	r.stopped.Store(true)
	r.cancelRequests(errStopping)
	r.drainConns(ctx, deadline)
	r.log.Info("router is stopping", "in_flight", r.inFlight.Load(), "connections", r.conns.Count())
	_ = r.readinessServer.Close() // readiness checks are meant to fail now
	return errors.CombineErrors(err, r.callerServer.Close())
}

// drainConns closes callers' connections as they become idle, until the deadline.
func (r *Router) drainConns(ctx context.Context, deadline time.Time) {
	for {
		r.conns.Close()
		if r.conns.Count() == 0 || !r.now().Before(deadline) || ctx.Err() != nil {
			return
		}
		pause.Sleep(ctx, stopPollInterval)
	}
}
