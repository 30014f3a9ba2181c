package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAnnouncer(t *testing.T) {
	first := Totals{InFlight: 100, Capacity: 10}
	for _, tt := range []struct {
		name  string
		after time.Duration
		t     Totals
		want  bool
	}{
		{"unchanged isn't announced", time.Second, first, false},
		{"unchanged is announced after the longest interval", DefaultMaxInterval, first, true},
		{"small change isn't announced early", time.Second, Totals{105, 10}, false},
		{"rise is announced early", time.Second, Totals{110, 10}, true},
		{"fall is announced early", time.Second, Totals{90, 10}, true},
		{"change of capacity is announced early", time.Second, Totals{100, 9}, true},
		{"nothing is announced within the shortest interval", DefaultMinInterval / 2, Totals{200, 9}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var a Announcer
			is.True(a.Due(epoch, first)) // always due the first time
			is.Equal(a.Due(epoch.Add(tt.after), tt.t), tt.want)
		})
	}
}
