package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	cfg   = DefaultConfig()
	start = time.Unix(1000, 0)
)

func TestUnreachableTargetIsSuspendedAtOnceAndTriedLater(t *testing.T) {
	is := is.New(t)
	var s State
	is.True(s.Observe(cfg, Unreachable, start))
	is.True(s.Suspended(start))
	is.True(!s.Trial(start))
	is.True(s.Trial(start.Add(cfg.FirstTrial)))
	is.True(!s.Trial(start.Add(cfg.FirstTrial)))
	is.True(!s.Observe(cfg, Unreachable, start.Add(cfg.FirstTrial)))
	is.True(!s.Trial(start.Add(2 * cfg.FirstTrial)))
	is.True(s.Trial(start.Add(3 * cfg.FirstTrial)))
	s.RecordReachable()
	is.True(!s.Suspended(start.Add(3 * cfg.FirstTrial)))
}

func TestSignificantFailuresSuspend(t *testing.T) {
	for _, tt := range []struct {
		name           string
		fleet, service Counts
		want           bool
	}{
		{"healthy", Counts{20, 0}, Counts{360, 0}, false},
		{"one failure is random", Counts{3, 1}, Counts{360, 1}, false},
		{"two of five may be random", Counts{3, 2}, Counts{360, 2}, false},
		{"three of ten", Counts{7, 3}, Counts{360, 3}, true},
		{"four of twenty while others fail too", Counts{16, 4}, Counts{100, 7}, false},
		{"as bad as its service", Counts{17, 3}, Counts{170, 30}, false},
		{"worse than its service", Counts{10, 10}, Counts{170, 40}, true},
		{"a whole service failing", Counts{10, 10}, Counts{180, 180}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var s State
			is.New(t).Equal(s.Evaluate(cfg, tt.fleet, tt.service, start), tt.want)
			is.New(t).Equal(s.Suspended(start), tt.want)
			is.New(t).True(!s.Suspended(start.Add(cfg.SuspendFor)))
		})
	}
}

func TestCountsLeaveTheWindow(t *testing.T) {
	is := is.New(t)
	var s State
	s.Observe(cfg, Answered, start)
	s.Observe(cfg, Failed, start.Add(cfg.Window/2))
	is.Equal(s.Counts(cfg, start.Add(cfg.Window/2)), Counts{1, 1})
	is.Equal(s.Counts(cfg, start.Add(cfg.Window)), Counts{0, 1})
	is.Equal(s.Counts(cfg, start.Add(2*cfg.Window)), Counts{})
}
