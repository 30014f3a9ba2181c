package router

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const target = 400 * time.Millisecond

func estimateOf(samples ...time.Duration) *replyTime {
	r := &replyTime{}
	for _, s := range samples {
		r.observe(s)
	}
	return r
}

func repeat(d time.Duration, n int) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = d
	}
	return out
}

func TestTimeoutFollowsReplyTimes(t *testing.T) {
	is := is.New(t)
	is.Equal(estimateOf().timeout(target), 2*target) // no samples yet
	is.Equal(estimateOf(repeat(60*time.Millisecond, 50)...).timeout(target), target/2)
	is.Equal(estimateOf(repeat(5*time.Second, 50)...).timeout(target), 2*target)
	slow := estimateOf(repeat(300*time.Millisecond, 50)...).timeout(target)
	is.True(slow > 300*time.Millisecond && slow < 350*time.Millisecond)
}

// When all targets become slow, the timeout grows before more than a few requests were sent
// twice.
func TestTimeoutGrowsUnderLoad(t *testing.T) {
	is := is.New(t)
	r := estimateOf(repeat(60*time.Millisecond, 50)...)
	early := 0
	for range 50 {
		if r.timeout(target) < 350*time.Millisecond {
			early++
		}
		r.observe(350 * time.Millisecond)
	}
	is.True(early <= 5)
}

// If an event arrives or the attempt ends while another attempt is being reserved, the watch
// does not cancel the attempt.
func TestEventDuringReserveKeepsTheAttempt(t *testing.T) {
	for name, sign := range map[string]func(w *overdueWatch){
		"event": func(w *overdueWatch) { w.event() },
		"end":   func(w *overdueWatch) { w.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var w *overdueWatch
			ended := false
			w = newOverdueWatch(time.Hour, func() bool { sign(w); return true }, func() { ended = true })
			w.overdue()
			is.True(!ended && !w.ended())
			w.stop()
		})
	}
}

// An overdue attempt is checked again after the same wait, until another attempt is allowed.
func TestOverdueAttemptIsCheckedAgain(t *testing.T) {
	is := is.New(t)
	allowed, ended := false, false
	w := newOverdueWatch(time.Hour, func() bool { return allowed }, func() { ended = true })
	w.overdue()
	is.True(!ended && !w.ended())
	allowed = true
	w.overdue()
	is.True(ended && w.ended())
	w.stop()
	is.True(w.ended())
}
