package gateway

import (
	"context"
	"github.com/knapweedgw/knapweedgw/pause"
	"time"
)

// maxGraces bounds the wait for a balancer that doesn't stop sending: it is at
// most that many times the grace time.
const maxGraces = 10

// Drain implements kernel.Drainer: it fails readiness and asks callers to
// close their connections. Every request is still served.
func (g *Gateway) Drain(context.Context) error {
	g.draining.Store(true)
	g.log.Info("gateway drains")
	return nil
}

// Stop implements kernel.Stopper: it serves on until no request has come for
// the grace time of the balancer, then closes the listener and waits until
// every request in progress has ended.
func (g *Gateway) Stop(ctx context.Context) error {
	begun := time.Now()
	for {
		left := time.Until(graceEnd(begun, time.Unix(0, g.lastCall.Load()), g.cfg.DrainGrace))
		if left <= 0 || ctx.Err() != nil {
			return g.server.Shutdown(ctx)
		}
		pause.Sleep(ctx, left)
	}
}

// graceEnd returns when a listener may close whose drain began at begun and
// whose newest request came at last.
func graceEnd(begun, last time.Time, grace time.Duration) time.Time {
	end := begun.Add(grace)
	if quiet := last.Add(grace); quiet.After(end) {
		end = quiet
	}
	if limit := begun.Add(maxGraces * grace); end.After(limit) {
		end = limit
	}
	return end
}
