// Package pause has pauses that end early with their context.
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
