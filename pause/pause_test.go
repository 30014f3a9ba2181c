package pause

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSleepEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	Sleep(ctx, time.Hour) // returns
}

func TestEveryCallsUntilItsContextEnds(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	Every(ctx, time.Millisecond, func(context.Context) {
		if calls++; calls == 3 {
			cancel()
		}
	})
	is.True(calls >= 3) // a tick that was due may still be taken
}
