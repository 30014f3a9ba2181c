package resumption

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeTargets is a list of targets that was last confirmed at a time, zero for never.
type fakeTargets struct {
	confirmed         time.Time
	ahead, incomplete bool
}

func (f *fakeTargets) ConfirmedAge(now time.Time) (time.Duration, bool) {
	return now.Sub(f.confirmed), !f.confirmed.IsZero()
}
func (f *fakeTargets) OtherNodeAhead() bool { return f.ahead }
func (f *fakeTargets) Ready() bool          { return !f.incomplete }
func (f *fakeTargets) WritesNote() bool     { return false }

// Guards against an outdated list of targets being taken for a current one: after a time without
// confirmation, while another node has a newer list, while it is incomplete, and after the machine was
// suspended, a time that the clock of confirmations doesn't count.
func TestViewIsCurrent(t *testing.T) {
	for name, tt := range map[string]struct {
		targets   fakeTargets
		passed    time.Duration
		suspended time.Duration
		want      bool
	}{
		"confirmed":     {fakeTargets{confirmed: start}, MaxViewAge, 0, true},
		"outdated":      {fakeTargets{confirmed: start}, MaxViewAge + 1, 0, false},
		"never":         {fakeTargets{}, 0, 0, false},
		"another ahead": {fakeTargets{confirmed: start, ahead: true}, 0, 0, false},
		"incomplete":    {fakeTargets{confirmed: start, incomplete: true}, 0, 0, false},
		"suspended":     {fakeTargets{confirmed: start}, time.Millisecond, 5 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now, suspended := start, time.Duration(0)
			v := &view{targets: &tt.targets, now: func() time.Time { return now }, suspended: func() time.Duration { return suspended }}
			v.isCurrent()
			now, suspended = start.Add(tt.passed), tt.suspended
			is.Equal(v.isCurrent(), tt.want)
			if tt.suspended > 0 { // the next confirmation counts
				now = now.Add(time.Second)
				tt.targets.confirmed = now
				is.True(v.isCurrent())
			}
		})
	}
}
