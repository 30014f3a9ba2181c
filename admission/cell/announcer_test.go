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
		{"unchanged is kept back", time.Second, first, false},
		{"unchanged is told once quiet for long", DefaultQuiet, first, true},
		{"small change is kept back", time.Second, Totals{105, 10}, false},
		{"rise is told", time.Second, Totals{110, 10}, true},
		{"fall is told", time.Second, Totals{90, 10}, true},
		{"change of capacity is told", time.Second, Totals{100, 9}, true},
		{"nothing is told within the gap", DefaultGap / 2, Totals{200, 9}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var a Announcer
			is.True(a.Due(epoch, first)) // the first time
			is.Equal(a.Due(epoch.Add(tt.after), tt.t), tt.want)
		})
	}
}
