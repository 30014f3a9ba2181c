package router

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const target = 400 * time.Millisecond

func times(samples ...time.Duration) *replyTime {
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

func TestPatienceFollowsReplyTimes(t *testing.T) {
	is := is.New(t)
	is.Equal(times().patience(target), 2*target) // nothing is known yet
	is.Equal(times(repeat(60*time.Millisecond, 50)...).patience(target), target/2)
	is.Equal(times(repeat(5*time.Second, 50)...).patience(target), 2*target)
	slow := times(repeat(300*time.Millisecond, 50)...).patience(target)
	is.True(slow > 300*time.Millisecond && slow < 350*time.Millisecond)
}

// When all targets turn slow, patience grows before more than a few requests
// were sent twice.
func TestPatienceGrowsUnderLoad(t *testing.T) {
	is := is.New(t)
	r := times(repeat(60*time.Millisecond, 50)...)
	early := 0
	for range 50 {
		if r.patience(target) < 350*time.Millisecond {
			early++
		}
		r.observe(350 * time.Millisecond)
	}
	is.True(early <= 5)
}

// A sign of life that comes while another attempt is reserved wins over it, and so
// does the end of the attempt.
func TestSignOfLifeWinsOverTheWatch(t *testing.T) {
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

// An attempt is looked at again after the same wait, until another is allowed.
func TestOverdueAttemptIsLookedAtAgain(t *testing.T) {
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
