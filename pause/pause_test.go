package pause

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSleepReturnsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	Sleep(ctx, time.Hour) // returns at once instead of after an hour
}

func TestEveryStopsWhenContextEnds(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	RunPeriodically(ctx, time.Millisecond, func(context.Context) {
		if calls++; calls == 3 {
			cancel()
		}
	})
	is.True(calls >= 3) // a tick that is already due may cause another call
}
