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
		{"urgency 0 may use all", 0, false, 1},
		{"urgency 7 leaves the reserve free", 7, false, 0.8},
		{"over its share, urgency 0 leaves the reserve free", 0, true, 0.8},
		{"over its share, urgency 7 leaves two reserves free", 7, true, 0.6},
		{"urgency is clamped to its range", 99, false, 0.8},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := utilizationLimit(0.2, tt.urgency, tt.over)
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
		{"the only workspace may use all", nil, "a", 1, 4, false},
		{"half of 32 plus the margin of 1+4 is exceeded", map[string]int{"a": 21, "b": 1}, "a", 1, 32, true},
		{"within the margin", map[string]int{"a": 20, "b": 1}, "a", 1, 32, false},
		{"a higher weight allows more", map[string]int{"a": 29, "b": 1}, "a", 4, 45, false},
		{"a higher weight still has a limit", map[string]int{"a": 43, "b": 1}, "a", 4, 45, true},
		{"a workspace without requests counts as active", map[string]int{"b": 40}, "a", 1, 40, false},
		{"one request is always within the share", map[string]int{"b": 1, "c": 1}, "a", 1, 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newShares()
			for w, n := range tt.counts {
				s.add(w, n)
			}
			is.New(t).Equal(s.exceedsShare(tt.ask, tt.weight, tt.capacity), tt.want)
		})
	}
}

// The lists of a Resync carry no weights; the known weights stay in force.
func TestWeightOutlivesResync(t *testing.T) {
	is := is.New(t)
	c := New(Config{LoadFactor: 1.25, MaxInFlight: 8})
	c.SetTargets([]Target{{ID: "a", Capacity: 1}})
	c.Acquire(epoch, AcquireRequest{Request: "r", Workspace: "w", Weight: 3})
	c.Resync(Holder{}, nil)
	c.Resync(Holder{}, []Place{{Request: "r", Target: "a", Workspace: "w"}})
	is.Equal(c.shares.weights, 3.0)
}

// cellWithLoad returns a cell of one target with a limit of 20, on which the workspace
// "greedy" has n requests in flight.
func cellWithLoad(n int) *Cell {
	c := New(Config{LoadFactor: 100, MaxInFlight: 20, Reserve: 0.2})
	c.SetTargets([]Target{{ID: "a", Capacity: 1}})
	var places []Place
	for i := range n {
		places = append(places, Place{Request: fmt.Sprint(i), Target: "a", Workspace: "greedy"})
	}
	c.Resync(Holder{Node: "greedy"}, places)
	return c
}

func TestAdmit(t *testing.T) {
	for _, tt := range []struct {
		name    string
		load    int
		ask     AcquireRequest
		outcome Outcome
		reason  Reason
	}{
		{"far from full, no workspace is limited", 10, AcquireRequest{Workspace: "greedy", Urgency: 7}, Granted, ReasonNone},
		{"nearly full, over the share", 16, AcquireRequest{Workspace: "greedy"}, Refused, ReasonWorkspaceLimit},
		{"nearly full, under the share", 16, AcquireRequest{Workspace: "modest"}, Granted, ReasonNone},
		{"lowest urgency is refused before the pool is full", 17, AcquireRequest{Workspace: "modest", Urgency: 7}, Refused, ReasonSaturated},
		{"urgency 0 is granted where urgency 7 is refused", 19, AcquireRequest{Workspace: "modest"}, Granted, ReasonNone},
		{"full pool refuses urgency 0", 20, AcquireRequest{Workspace: "modest"}, Refused, ReasonSaturated},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := cellWithLoad(tt.load)
			c.shares.add("modest", 1) // active, so that each share is half
			tt.ask.Request = "new"
			v := c.Acquire(epoch, tt.ask)
			is.Equal(v.Outcome, tt.outcome)
			is.Equal(v.Reason, tt.reason)
		})
	}
}

// In any order of asks, a workspace over its share never uses the last reserve, and one
// under its share is never refused by the workspace limit, nor at all while that reserve is
// free.
func TestFairnessKeepsReserve(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := New(Config{LoadFactor: 100, MaxInFlight: rapid.IntRange(5, 40).Draw(rt, "max")})
		c.SetTargets([]Target{{ID: "a", Capacity: 1}, {ID: "b", Capacity: 2}})
		hard := 3 * c.cfg.MaxInFlight
		weights := map[string]float64{"a": 0.5, "b": 1, "c": 4}
		for i := range rapid.IntRange(0, 150).Draw(rt, "asks") {
			w := rapid.SampledFrom([]string{"a", "a", "a", "b", "c"}).Draw(rt, "workspace")
			u := rapid.IntRange(0, 7).Draw(rt, "urgency")
			over := c.shares.exceedsShare(w, weights[w], hard)
			used := float64(c.own.InFlight+1) / float64(hard)
			v := c.Acquire(epoch, AcquireRequest{Request: fmt.Sprint(i), Workspace: w, Weight: weights[w], Urgency: u})
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
		less := cellWithLoad(load).Acquire(epoch, AcquireRequest{Request: "less", Workspace: workspace, Urgency: urgency + 1})
		more := cellWithLoad(load).Acquire(epoch, AcquireRequest{Request: "more", Workspace: workspace, Urgency: urgency})
		is.New(rt).True(less.Outcome != Granted || more.Outcome == Granted)
	})
}

func TestRetryAfterSpreads(t *testing.T) {
	is := is.New(t)
	var all []time.Duration
	for i := range 1000 {
		d := retryAfter(epoch, AcquireRequest{Request: fmt.Sprint(i)})
		is.True(d >= retryMin && d < retryMin+retrySpread)
		all = append(all, d)
	}
	slices.Sort(all)
	// Any tenth of the callers is spread over at least half of its even share of the time.
	for i := 100; i < len(all); i += 100 {
		is.True(all[i]-all[i-100] > retrySpread/20)
	}
}
