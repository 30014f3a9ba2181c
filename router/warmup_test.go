package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/warmup"
)

// The tests guard against overloading targets that have just started: they look idle, so all
// nodes sent requests to them at once, and their cold time was not taken into account.

var coldLimit = warmup.Limit{PerSecond: 4, Duration: 3 * time.Second}

// newColdTargetPool returns a pool of two targets, of which the second is cold for two seconds.
func newColdTargetPool() *testPool {
	cold := run("b", 0)
	cold.ColdFor = 2 * time.Second
	p := newTestPool(run("a", 0), cold)
	p.warmUpOf = func(string) warmup.Limit { return coldLimit }
	return p
}

// sentTo returns how many of n requests go to a target.
func (p *testPool) sentTo(id string, n int) int {
	got := 0
	for range n {
		l, _, ok := p.acquire(criteria{service: service})
		if ok && l.target.ID == id {
			got++
		}
		if ok {
			p.release(l, true)
		}
	}
	return got
}

func TestColdTargetGetsTheNodesShare(t *testing.T) {
	is := is.New(t)
	p := newColdTargetPool()
	p.sentTo("b", 10)
	p.clock = p.clock.Add(time.Second)
	is.Equal(p.sentTo("b", 10), 1) // two nodes share 4 requests per second, and one is saved up
	p.clock = p.clock.Add(time.Second)
	is.True(p.sentTo("b", 40) > 1) // warm
}

func TestArrivalsFromOtherNodesReduceTheShare(t *testing.T) {
	is := is.New(t)
	p := newColdTargetPool()
	p.sentTo("b", 1)
	p.clock = p.clock.Add(time.Second)
	p.fleet.report(p.pool, heartbeat.TargetReport{Target: uint32(arrivalsHash(p.members["b"])), Running: 4})
	is.Equal(p.sentTo("b", 10), 0)
}

func TestArrivalsAreReportedWhileATargetIsCold(t *testing.T) {
	is := is.New(t)
	p := newColdTargetPool()
	p.sentTo("b", 1)
	p.clock = p.clock.Add(time.Second)
	is.Equal(p.sentTo("b", 10), 1)
	reported := func() int {
		var r heartbeat.Report
		p.fillReport(&r, p.clock)
		for _, x := range r.Targets {
			if x.Target == uint32(arrivalsHash(p.members["b"])) {
				return int(x.Running)
			}
		}
		return 0
	}
	is.Equal(reported(), 1)
	p.clock = p.clock.Add(2 * time.Second)
	is.Equal(reported(), 0)
}

// Targets of a failure domain may be cold after its evacuation ends, and their entries report
// that late.
func TestFailureDomainIsColdAfterItsEvacuation(t *testing.T) {
	is := is.New(t)
	a, b := run("a", 0), run("b", 0)
	b.FailureDomain = "y"
	p := newTestPool(a, b)
	p.warmUpOf = func(string) warmup.Limit { return coldLimit }
	evacuate := func(domains map[string]bool) {
		p.registry.Evacuate(domains, p.clock)
		p.update(p.registry.TakeChanges())
	}
	evacuate(map[string]bool{"y": true})
	is.Equal(p.sentTo("b", 20), 0)
	evacuate(nil)
	is.True(p.sentTo("b", 20) <= 1)
	p.clock = p.clock.Add(coldLimit.Duration)
	is.True(p.sentTo("b", 20) > 1)
}

func TestServiceWithoutALimitIsNeverCold(t *testing.T) {
	is := is.New(t)
	p := newColdTargetPool()
	p.warmUpOf = func(string) warmup.Limit { return warmup.Limit{Duration: time.Minute} }
	is.True(p.sentTo("b", 40) > 5)
}

// An entry without a cold time ends the cold time of an earlier one.
func TestEntryWithoutAColdTimeEndsIt(t *testing.T) {
	is := is.New(t)
	p := newColdTargetPool()
	is.True(p.members["b"].target.IsCold(0, p.clock))
	p.put(run("b", 0))
	is.True(!p.members["b"].target.IsCold(0, p.clock))
}
