package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The Unix time of Monotonic must follow the monotonic clock: those of time.Now diverge when the
// system clock is set.
func TestUnixTimeFollowsMonotonicClock(t *testing.T) {
	is := is.New(t)
	first := Monotonic()
	for range 1000 {
		next := Monotonic()
		is.Equal(next.UnixNano()-first.UnixNano(), int64(next.Sub(first)))
		is.True(!next.Before(first))
	}
	is.True(time.Since(first) >= 0)
}
