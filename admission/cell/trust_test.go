package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func nodes(n int) []Holder {
	out := make([]Holder, n)
	for i := range out {
		out[i] = Holder{Node: fmt.Sprint("node-", i)}
	}
	return out
}

func TestTakeoverWaitsForHalf(t *testing.T) {
	is := is.New(t)
	c := New(Config{LoadFactor: 1.25, MaxInFlight: 8})
	c.SetTargets([]Target{{ID: "a", Capacity: 1}})
	all := nodes(4)
	c.Takeover(all)
	c.Resync(all[0], nil)
	v := c.Acquire(epoch, AcquireRequest{Request: "r"})
	is.Equal(v.Outcome, Full)
	is.Equal(v.Reason, ReasonRecovering)
	is.Equal(len(c.Waiting()), 3)
	c.Resync(all[1], nil)
	is.Equal(c.Acquire(epoch, AcquireRequest{Request: "r"}).Outcome, Granted)
}

func TestTakeoverEnds(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(c *Cell, all []Holder)
	}{
		{"all holders reported", func(c *Cell, all []Holder) { c.Resync(all[0], nil); c.Resync(all[1], nil) }},
		{"dead holders dropped", func(c *Cell, all []Holder) { c.DropHolder(all[0]); c.DropHolder(all[1]) }},
		{"silent holders excused", func(c *Cell, all []Holder) { c.StopWaiting(all[0]); c.StopWaiting(all[1]) }},
		{"ended by EndTakeover", func(c *Cell, _ []Holder) { c.EndTakeover() }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := New(Config{LoadFactor: 1.25, MaxInFlight: 8})
			c.SetTargets([]Target{{ID: "a", Capacity: 1}})
			all := nodes(2)
			c.Takeover(all)
			tt.end(c, all)
			is.Equal(len(c.Waiting()), 0)
			is.Equal(c.Acquire(epoch, AcquireRequest{Request: "r"}).Outcome, Granted)
		})
	}
}

// A holder that seems dead may only be frozen: its places stay counted.
func TestExcuseKeepsPlaces(t *testing.T) {
	is := is.New(t)
	c := New(Config{LoadFactor: 1.25, MaxInFlight: 8})
	c.SetTargets([]Target{{ID: "a", Capacity: 1}})
	h := nodes(1)[0]
	c.Resync(h, []Place{{Request: "r", Target: "a"}})
	c.StopWaiting(h)
	is.Equal(c.Totals().InFlight, 1)
	c.DropHolder(h)
	is.Equal(c.Totals().InFlight, 0)
}

// The estimate during a takeover is never less than the reported places, includes an
// estimate for the holders that haven't reported, and ends exact.
func TestTakeoverEstimate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(rt, "nodes")
		each := rapid.IntRange(0, 5).Draw(rt, "each")
		c := New(Config{LoadFactor: 1.25, MaxInFlight: 1000})
		c.SetTargets([]Target{{ID: "a", Capacity: 1}})
		all := nodes(n)
		c.Takeover(all)
		is := is.New(rt)
		for reported, h := range all {
			var places []Place
			for i := range each {
				places = append(places, Place{Request: fmt.Sprint(i), Target: "a"})
			}
			c.Resync(h, places)
			is.True(c.Totals().InFlight >= each*(reported+1))
			is.Equal(c.Recovering(), 2*(reported+1) < n)
			if !c.Recovering() {
				is.Equal(c.Totals().InFlight, each*n) // all nodes hold the same number: exact at once
			}
		}
	})
}

// An owner to which only some holders have reported leaves capacity free for the places of
// the others.
func TestTakeoverEstimateHasMargin(t *testing.T) {
	for _, tt := range []struct {
		name                     string
		waiting, reported, count int
		want                     int
	}{
		{"all reported", 0, 4, 9, 9},
		{"half reported: 9 more, and the root of 9 x 2", 4, 4, 9, 23},
		{"three quarters: 3 more, and the root of 3 x 4/3", 1, 3, 9, 14},
		{"no places reported", 4, 4, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tr := recovery{reported: tt.reported, waiting: make(map[Holder]bool)}
			for _, h := range nodes(tt.waiting) {
				tr.waiting[h] = true
			}
			is.New(t).Equal(tr.upperEstimate(tt.count), tt.want)
		})
	}
}

func TestPause(t *testing.T) {
	for _, tt := range []struct {
		name  string
		ticks []time.Duration
		ask   time.Duration
		want  Outcome
	}{
		{"an owner that never ticks is assumed to run", nil, time.Hour, Granted},
		{"regular ticks", []time.Duration{0, time.Second, 2 * time.Second}, 3 * time.Second, Granted},
		{"an ask after a pause, before the next tick", []time.Duration{0}, 10 * time.Second, Full},
		{"an ask after the tick that ends a pause", []time.Duration{0, 10 * time.Second}, 10 * time.Second, Full},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := New(Config{LoadFactor: 1.25, MaxInFlight: 8})
			c.SetTargets([]Target{{ID: "a", Capacity: 1}})
			all := nodes(2)
			c.Resync(all[0], nil)
			c.Resync(all[1], nil)
			for _, at := range tt.ticks {
				c.Tick(epoch.Add(at))
			}
			is.Equal(c.Acquire(epoch.Add(tt.ask), AcquireRequest{Request: "r"}).Outcome, tt.want)
			c.Resync(all[0], nil)
			c.Resync(all[1], nil)
			is.Equal(c.Acquire(epoch.Add(tt.ask), AcquireRequest{Request: "r"}).Outcome, Granted)
		})
	}
}
