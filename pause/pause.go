// Package pause has pauses and repetitions that end with their context.
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

// Every calls f once in each interval until ctx ends. A call that takes longer
// than the interval delays the next one.
func Every(ctx context.Context, interval time.Duration, f func(context.Context)) {
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
