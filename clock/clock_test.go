package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The Unix time must be that of the steady clock: with time.Now the two drift apart
// when the time of day is set.
func TestUnixTimeFollowsTheSteadyClock(t *testing.T) {
	is := is.New(t)
	first := Steady()
	for range 1000 {
		next := Steady()
		is.Equal(next.UnixNano()-first.UnixNano(), int64(next.Sub(first)))
		is.True(!next.Before(first))
	}
	is.True(time.Since(first) >= 0)
}
