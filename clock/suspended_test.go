package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a time between two clocks' readings being taken for a suspension: the time never falls.
func TestSuspendedIsATime(t *testing.T) {
	is.New(t).True(Suspended() > -time.Millisecond) // the error of two readings
}
