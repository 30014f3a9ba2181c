package gateway

import (
	"context"
	"github.com/knapweedgw/knapweedgw/pause"
	"time"
)

// maxGracePeriods bounds the drain if the load balancer doesn't stop sending requests: it waits
// at most this many times the grace period.
const maxGracePeriods = 10

// stalledInterval is the time between two looks for callers that have stopped sending.
const stalledInterval = 500 * time.Millisecond

// Drain implements kernel.Drainer. It makes the readiness probe fail and asks callers to close
// their connections. Requests are still served.
func (g *Gateway) Drain(context.Context) error {
	g.draining.Store(true)
	g.log.Info("gateway draining")
	return nil
}

// Stop implements kernel.Stopper. It continues to serve until no request has arrived for the
// grace period (--drain-grace), in which the load balancer detects the failed readiness probe.
// Then it closes the listener and waits until every request in progress has ended. It returns
// ctx's error if ctx ends before that.
func (g *Gateway) Stop(ctx context.Context) error {
	begun := time.Now()
	for {
		left := time.Until(graceEnd(begun, time.Unix(0, g.lastCall.Load()), g.cfg.DrainGrace))
		if left <= 0 || ctx.Err() != nil {
			return g.shutdown(ctx)
		}
		pause.Sleep(ctx, left)
	}
}

// shutdown waits until every request in progress has ended. Requests that their callers don't send
// to the end are refused.
func (g *Gateway) shutdown(ctx context.Context) error {
	stalled, cancel := context.WithCancel(ctx)
	defer cancel()
	go pause.RunPeriodically(stalled, stalledInterval, func(context.Context) { g.conns.EndStalled() })
	return g.server.Shutdown(ctx)
}

// graceEnd returns when a listener may close, given that the drain began at begun and the newest
// request arrived at last.
func graceEnd(begun, last time.Time, grace time.Duration) time.Time {
	end := begun.Add(grace)
	if quiet := last.Add(grace); quiet.After(end) {
		end = quiet
	}
	if limit := begun.Add(maxGracePeriods * grace); end.After(limit) {
		end = limit
	}
	return end
}
