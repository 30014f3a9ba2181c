package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const shortest = 25 * time.Millisecond

func TestLinkTimeout(t *testing.T) {
	tests := []struct {
		name string
		took []time.Duration
		want time.Duration
	}{
		{"no answer yet", nil, 4 * shortest},
		{"fast", []time.Duration{time.Millisecond, time.Millisecond}, shortest},
		{"slow", []time.Duration{20 * time.Millisecond}, 60 * time.Millisecond},
		{"very slow", []time.Duration{time.Second}, 4 * shortest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l link
			for _, d := range tt.took {
				l.answered(d)
			}
			is.New(t).Equal(l.timeout(shortest), tt.want)
		})
	}
}

func TestBreaker(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var l link
	l.answered(time.Millisecond)
	for range 10 {
		l.failed(now, now.Add(shortest)) // one stall
	}
	now = now.Add(shortest)
	is.True(l.allow(now))
	is.True(l.timeout(shortest) > shortest)

	for range breakerThreshold - 1 {
		l.failed(now, now.Add(shortest))
		now = now.Add(shortest)
	}
	is.True(!l.allow(now)) // open
	now = now.Add(breakerMinPause)
	is.True(l.allow(now))  // one ask
	is.True(!l.allow(now)) // and no other
	l.answered(time.Millisecond)
	is.True(l.allow(now)) // closed
}
