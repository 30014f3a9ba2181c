package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestCeiling(t *testing.T) {
	for _, tt := range []struct {
		name    string
		urgency int
		over    bool
		want    float64
	}{
		{"an emergency may use all", 0, false, 1},
		{"the least urgent leaves the reserve", 7, false, 0.8},
		{"beyond its share, an emergency leaves the reserve", 0, true, 0.8},
		{"beyond its share, the least urgent leaves two", 7, true, 0.6},
		{"urgency is held to its range", 99, false, 0.8},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := ceiling(0.2, tt.urgency, tt.over)
			is.New(t).True(got > tt.want-1e-9 && got < tt.want+1e-9)
		})
	}
}

func TestShares(t *testing.T) {
	for _, tt := range []struct {
		name     string
		counts   map[string]int
		ask      string
		weight   float64
		capacity int
		want     bool
	}{
		{"alone it may use all", nil, "a", 1, 4, false},
		{"half of two and the margin of 1+4", map[string]int{"a": 21, "b": 1}, "a", 1, 32, true},
		{"within the margin", map[string]int{"a": 20, "b": 1}, "a", 1, 32, false},
		{"a heavy one may use more", map[string]int{"a": 29, "b": 1}, "a", 4, 45, false},
		{"but not without end", map[string]int{"a": 43, "b": 1}, "a", 4, 45, true},
		{"a newcomer counts", map[string]int{"b": 40}, "a", 1, 40, false},
		{"one request is always a share", map[string]int{"b": 1, "c": 1}, "a", 1, 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newShares()
			for w, n := range tt.counts {
				s.add(w, n)
			}
			is.New(t).Equal(s.over(tt.ask, tt.weight, tt.capacity), tt.want)
		})
	}
}

// A list of places carries no weights; those known stay in force.
func TestWeightOutlivesResync(t *testing.T) {
	is := is.New(t)
	c := New(Config{LoadFactor: 1.25, MaxInFlight: 8})
	c.SetTargets([]Target{{ID: "a", Capacity: 1}})
	c.Acquire(epoch, Ask{Request: "r", Workspace: "w", Weight: 3})
	c.Resync(Holder{}, nil)
	c.Resync(Holder{}, []Hold{{Request: "r", Target: "a", Workspace: "w"}})
	is.Equal(c.shares.weights, 3.0)
}

// fill returns a cell of one target with room for 20, of which the workspace
// "greedy" has n in flight.
func fill(n int) *Cell {
	c := New(Config{LoadFactor: 100, MaxInFlight: 20, Reserve: 0.2})
	c.SetTargets([]Target{{ID: "a", Capacity: 1}})
	var holds []Hold
	for i := range n {
		holds = append(holds, Hold{Request: fmt.Sprint(i), Target: "a", Workspace: "greedy"})
	}
	c.Resync(Holder{Node: "greedy"}, holds)
	return c
}

func TestAdmit(t *testing.T) {
	for _, tt := range []struct {
		name    string
		load    int
		ask     Ask
		outcome Outcome
		reason  Reason
	}{
		{"far from full nobody is limited", 10, Ask{Workspace: "greedy", Urgency: 7}, Granted, ReasonNone},
		{"nearly full, beyond the share", 16, Ask{Workspace: "greedy"}, Refused, ReasonWorkspaceLimit},
		{"nearly full, under the share", 16, Ask{Workspace: "modest"}, Granted, ReasonNone},
		{"batch is refused before it is full", 17, Ask{Workspace: "modest", Urgency: 7}, Refused, ReasonSaturated},
		{"an emergency passes batch", 19, Ask{Workspace: "modest"}, Granted, ReasonNone},
		{"full is full", 20, Ask{Workspace: "modest"}, Refused, ReasonSaturated},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := fill(tt.load)
			c.shares.add("modest", 1) // active, so that the shares are halves
			tt.ask.Request = "new"
			v := c.Acquire(epoch, tt.ask)
			is.Equal(v.Outcome, tt.outcome)
			is.Equal(v.Reason, tt.reason)
		})
	}
}

// Whatever the order of asks, a workspace beyond its share never takes the last
// reserve, and one under its share is never refused by the workspace limit or
// while that reserve is free.
func TestFairnessKeepsReserve(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := New(Config{LoadFactor: 100, MaxInFlight: rapid.IntRange(5, 40).Draw(rt, "max")})
		c.SetTargets([]Target{{ID: "a", Capacity: 1}, {ID: "b", Capacity: 2}})
		hard := 3 * c.cfg.MaxInFlight
		weights := map[string]float64{"a": 0.5, "b": 1, "c": 4}
		for i := range rapid.IntRange(0, 150).Draw(rt, "asks") {
			w := rapid.SampledFrom([]string{"a", "a", "a", "b", "c"}).Draw(rt, "workspace")
			u := rapid.IntRange(0, 7).Draw(rt, "urgency")
			over := c.shares.over(w, weights[w], hard)
			used := float64(c.own.InFlight+1) / float64(hard)
			v := c.Acquire(epoch, Ask{Request: fmt.Sprint(i), Workspace: w, Weight: weights[w], Urgency: u})
			is := is.New(rt)
			if over && v.Outcome == Granted {
				is.True(used <= 1-DefaultReserve)
			}
			if !over {
				is.True(v.Reason != ReasonWorkspaceLimit)
				is.True(v.Outcome == Granted || used > 1-DefaultReserve)
			}
			if rapid.IntRange(0, 3).Draw(rt, "release") == 0 {
				c.Release(Holder{}, fmt.Sprint(rapid.IntRange(0, i).Draw(rt, "which")))
			}
		}
	})
}

// A more urgent request is never refused where a less urgent one is granted.
func TestUrgencyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		load := rapid.IntRange(0, 20).Draw(rt, "load")
		workspace := rapid.SampledFrom([]string{"greedy", "modest"}).Draw(rt, "workspace")
		urgency := rapid.IntRange(0, 6).Draw(rt, "urgency")
		less := fill(load).Acquire(epoch, Ask{Request: "less", Workspace: workspace, Urgency: urgency + 1})
		more := fill(load).Acquire(epoch, Ask{Request: "more", Workspace: workspace, Urgency: urgency})
		is.New(rt).True(less.Outcome != Granted || more.Outcome == Granted)
	})
}

func TestRetryAfterSpreads(t *testing.T) {
	is := is.New(t)
	var all []time.Duration
	for i := range 1000 {
		d := retryAfter(epoch, Ask{Request: fmt.Sprint(i)})
		is.True(d >= retryMin && d < retryMin+retrySpread)
		all = append(all, d)
	}
	slices.Sort(all)
	// No tenth of the callers comes back within less than half its even share.
	for i := 100; i < len(all); i += 100 {
		is.True(all[i]-all[i-100] > retrySpread/20)
	}
}
