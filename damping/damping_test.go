package damping

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func TestHold(t *testing.T) {
	cfg := Config{Window: time.Minute, Threshold: 3, Base: 10 * time.Second, Max: 25 * time.Second}
	cases := []struct {
		name       string
		departures []int // seconds
		at         int   // second of the check
		held       bool
	}{
		{"none", nil, 0, false},
		{"below the threshold", []int{0, 1}, 2, false},
		{"at the threshold", []int{0, 1, 2}, 3, true},
		{"until the hold ends", []int{0, 1, 2}, 12, false},
		{"spread over more than the window", []int{0, 31, 62}, 63, false},
		{"the second hold is longer", []int{0, 1, 2, 13, 14, 15}, 34, true},
		{"the third is bounded", []int{0, 1, 2, 13, 14, 15, 36, 37, 38}, 63, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			d := New(cfg)
			for _, s := range tc.departures {
				d.RecordDeparture("e", epoch.Add(time.Duration(s)*time.Second))
			}
			is.Equal(d.Held("e", epoch.Add(time.Duration(tc.at)*time.Second)), tc.held)
		})
	}
}

func TestHoldsAreBoundedAndPruned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, now := New(DefaultConfig()), epoch
		for _, gap := range rapid.SliceOf(rapid.IntRange(0, 400)).Draw(t, "gaps") {
			now = now.Add(time.Duration(gap) * time.Second)
			d.RecordDeparture("e", now)
			if d.HeldUntil("e").After(now.Add(DefaultConfig().Max)) {
				t.Fatal("held for longer than Max")
			}
			if len(d.records["e"].departures) >= DefaultConfig().Threshold {
				t.Fatal("number of departures is not bounded")
			}
		}
		d.Prune(now.Add(time.Hour))
		if len(d.records) > 0 {
			t.Fatal("record not removed after an hour without departures")
		}
	})
}
