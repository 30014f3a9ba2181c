package admission

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/targets"
)

func TestLocalEstimate(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name string
		do   func(l *LocalEstimator)
		want int
	}{
		{"no data", func(*LocalEstimator) {}, 0},
		{"own requests", func(l *LocalEstimator) { l.countSent("a"); l.countSent("a") }, 2},
		{"own requests that ended", func(l *LocalEstimator) { l.countSent("a")() }, 0},
		{"report and later requests", func(l *LocalEstimator) { l.Observe("a", 5, start); l.countSent("a") }, 6},
		{"report includes earlier requests", func(l *LocalEstimator) { l.countSent("a"); l.Observe("a", 5, start) }, 5},
		{"report lower than own requests", func(l *LocalEstimator) { l.countSent("a"); l.countSent("a"); l.Observe("a", 0, start) }, 2},
		{"later request ended", func(l *LocalEstimator) { l.Observe("a", 5, start); l.countSent("a")() }, 5},
		{"earlier request ended after the report", func(l *LocalEstimator) {
			end := l.countSent("a")
			l.Observe("a", 5, start)
			end()
		}, 5},
		{"older report arrives late", func(l *LocalEstimator) {
			l.Observe("a", 5, start)
			l.Observe("a", 9, start.Add(-time.Second))
		}, 5},
		{"report too old", func(l *LocalEstimator) { l.Observe("a", 5, start.Add(-time.Hour)) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := NewLocalEstimator(nil)
			tt.do(l)
			is.New(t).Equal(l.load("a", start), tt.want)
		})
	}
}

func TestLocalPlaces(t *testing.T) {
	tests := []struct {
		name   string
		pool   []targets.Target
		loads  map[string]int
		want   string
		reason problem.Reason
	}{
		{"the only one with free capacity", engineList(2), map[string]int{"engine-00": 5}, "engine-01", ""},
		{"all at the hard limit", engineList(1), map[string]int{"engine-00": 8}, "", problem.Saturated},
		{"none", nil, nil, "", problem.NoTarget},
		{"all leaving", []targets.Target{{ID: "a", Capacity: 1, Leaving: true}}, nil, "", problem.NoTarget},
		{"by capacity", []targets.Target{{ID: "a", Capacity: 1}, {ID: "b", Capacity: 4}}, map[string]int{"a": 2, "b": 4}, "b", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var src source[targets.Snapshot]
			src.v.Store(&targets.Snapshot{Pools: map[string][]targets.Target{testPool: tt.pool}})
			l := NewLocalEstimator(&src)
			for id, n := range tt.loads {
				l.Observe(id, n, time.Now())
			}
			ref := settings.ResolvedPool{Pool: testPool, LoadFactor: 1, MaxInFlight: 8}
			g, err := l.Acquire(context.Background(), Request{Pool: ref})
			is.Equal(g.Target.ID, tt.want)
			if tt.reason != "" {
				is.Equal(err.(*problem.Problem).Reason, tt.reason)
			}
		})
	}
}
