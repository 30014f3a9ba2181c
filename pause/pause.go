// Package pause provides a sleep and a periodic call that stop when their context ends.
package pause

import (
	"context"
	"time"
)

// Sleep returns after d, or as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// RunPeriodically calls f at the given interval until ctx ends, the first time after one
// interval. Calls don't overlap: one that takes longer than the interval delays the next.
func RunPeriodically(ctx context.Context, interval time.Duration, f func(context.Context)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f(ctx)
		}
	}
}
