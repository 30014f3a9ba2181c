package cell

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestForecast(t *testing.T) {
	for _, tt := range []struct {
		name  string
		loads []int
		step  time.Duration
		want  float64
	}{
		{"too few samples", []int{100, 50}, trendStep, 1},
		{"steady", []int{100, 100, 100, 100, 100, 100}, trendStep, 1},
		{"rise isn't extrapolated", []int{100, 120, 140, 160, 180, 200}, trendStep, 1},
		{"noise is ignored", []int{100, 95, 90, 85, 82, 80}, trendStep, 1},
		{"a fall of 2 percent a second", []int{20000, 19600, 19200, 18800, 18400, 18000}, trendStep, 1 - 7*(0.1-1.5*0.01)/5},
		{"a collapse is limited to half", []int{100, 80, 60, 40, 20, 1}, trendStep, 0.5},
		{"samples closer than the step are skipped", []int{100, 1, 1, 1, 1, 1}, trendStep / 10, 1},
		{"a gap discards the samples", []int{100, 90, 80, 70, 60, 50}, 3 * trendStep, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var tr trend
			for i, n := range tt.loads {
				tr.observe(epoch.Add(time.Duration(i)*tt.step), n)
			}
			is.New(t).True(math.Abs(tr.forecast()-tt.want) < 1e-9)
		})
	}
}

// A forecast may only lower the bound.
func TestForecastNeverRaises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var tr trend
		now := epoch
		for range rapid.IntRange(0, 20).Draw(rt, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			tr.observe(now, rapid.IntRange(0, 1000).Draw(rt, "load"))
			f := tr.forecast()
			is.New(rt).True(f <= 1 && f >= 0.5)
		}
	})
}

// However fast the pool empties, the bound stays above the mean, so that new requests can be
// placed.
func TestForecastLeavesRoom(t *testing.T) {
	is := is.New(t)
	c := evenlyLoadedCell(10, 10)
	for i, n := range []int{20000, 10000, 5000, 2000, 1000, 100} {
		c.trend.observe(epoch.Add(time.Duration(i)*trendStep), n)
	}
	l := c.limits(true, false)
	is.True(l.bound >= minLoadFactor*10)
	is.True(l.bound < 1.25*10)
}
