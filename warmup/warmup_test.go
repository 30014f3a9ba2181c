package warmup

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var large = flag.Bool("large", false, "play 100 seeds of each load")

// hotPart is the part of a kind's requests that the hot key gets.
const hotPart = 0.28

// loads are those of a fleet of so many nodes.
func loads(nodes int) []load {
	return []load{
		{name: "one target, which keeps the hot key", nodes: nodes, cold: 1, hot: hotPart, comesBack: true},
		{name: "a domain, of which one keeps the hot key", nodes: nodes, cold: 15, hot: hotPart, comesBack: true},
		{name: "all", nodes: nodes, cold: simTargets},
		{name: "all, hot key", nodes: nodes, cold: simTargets, hot: hotPart},
		{name: "all, hot key after 2 s", nodes: nodes, cold: simTargets, hot: hotPart, hotFrom: 2 * time.Second},
		{name: "all, hot key, nodes fresh", nodes: nodes, cold: simTargets, hot: hotPart, fresh: true},
		{name: "all, hot key, a third cut off", nodes: nodes, cold: simTargets, hot: hotPart, cut: 1. / 3},
		{name: "all, hot key, half killed", nodes: nodes, cold: simTargets, hot: hotPart, killed: 0.5},
	}
}

// sizes are those of fleets in use and of the largest that is planned for.
var sizes = []int{7, 66, 91, 295, 370}

// seeds plays the seeds 1 to n and sums up; broken is the number of seeds with a request
// over the bound.
func (l load) seeds(w way, n int) (sum result, broken int) {
	all := make([]result, n)
	var wg sync.WaitGroup
	for i := range all {
		wg.Go(func() { all[i] = l.play(w, uint64(i+1)) })
	}
	wg.Wait()
	for _, r := range all {
		sum.asked, sum.arrived, sum.refused = sum.asked+r.asked, sum.arrived+r.arrived, sum.refused+r.refused
		sum.over, sum.overRate, sum.read = sum.over+r.over, sum.overRate+r.overRate, sum.read+r.read
		sum.most = max(sum.most, r.most)
		if r.over > 0 {
			broken++
		}
	}
	return sum, broken
}

func (r result) String() string {
	part := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	return fmt.Sprintf("at most %d in a second, %.4f of the arrivals over the bound, %.3f over the rate; "+
		"%.3f of the requests to cold targets, %.4f refused; 1,000 tokens read %d",
		r.most, part(r.over, r.arrived), part(r.overRate, r.arrived), part(r.arrived, r.asked), part(r.refused, r.asked), r.read/1000)
}

// Cold targets and whole domains that come back, with a key that gets much of the
// traffic: no second brings a target more requests than the bound, whatever the nodes
// know of each other.
func TestColdTargetsStayWithinTheBound(t *testing.T) {
	t.Parallel()
	n := 3
	if *large {
		n = 100
	}
	for _, nodes := range sizes {
		for _, l := range loads(nodes) {
			sum, broken := l.seeds(ofPackage, n)
			t.Logf("%d nodes, %s: %s", nodes, l.name, sum)
			if broken > 0 {
				t.Errorf("%d nodes, %s: over the bound with %d of %d seeds", nodes, l.name, broken, n)
			}
		}
	}
}

// All targets are cold and more requests come than they bear together: nodes without a
// share spread requests by what the reports leave room for, all until the next reports.
func TestSurgeOnColdTargetsStaysWithinTheBound(t *testing.T) {
	t.Parallel()
	const seeds, surge = 3, 6
	for _, nodes := range sizes {
		l := load{name: "all, six times the requests", nodes: nodes, cold: simTargets, surge: surge}
		sum, broken := l.seeds(ofPackage, seeds)
		t.Logf("%d nodes, %s: %s", nodes, l.name, sum)
		if broken > 0 {
			t.Errorf("%d nodes, %s: over the bound with %d of %d seeds", nodes, l.name, broken, seeds)
		}
	}
}

// The other ways break the bound where the package's doesn't, or cost more: a few nodes a
// target keep it, and have prompts read at more targets.
func TestOtherWaysOfWarmingUp(t *testing.T) {
	t.Parallel()
	const seeds = 3
	for _, l := range loads(91) {
		for _, w := range []way{asBefore, equalShares, steered, fewNodes, ofPackage} {
			sum, broken := l.seeds(w, seeds)
			t.Logf("%s, %s: %d of %d seeds over the bound; %s", l.name, w.name, broken, seeds, sum)
			if l.hot > 0 && broken == 0 && (w == asBefore || w == equalShares || w == steered) {
				t.Errorf("%s, %s: within the bound, over it was expected", l.name, w.name)
			}
		}
	}
}

var start = time.Unix(1000, 0)

// A node saves up no more than one request, and its share comes at its phase.
func TestShareIsKeptUntilItIsUsed(t *testing.T) {
	is := is.New(t)
	l := Limit{PerSecond: 10, For: time.Second}
	s := NewSender(0.5, start)
	is.True(!s.May(l, 5, 0, start))
	is.True(s.May(l, 5, 0, start.Add(250*time.Millisecond))) // half of a share at 2 a second
	later := start.Add(time.Minute)
	is.True(s.May(l, 5, 0, later))
	s.Send(later)
	is.True(!s.May(l, 5, 0, later))
	is.True(s.May(l, 5, 0, later.Add(500*time.Millisecond)))
}

func TestRoomIsWhatTheLastSecondLeaves(t *testing.T) {
	is := is.New(t)
	l := Limit{PerSecond: 10}
	s := NewSender(1, start)
	s.Send(start)
	is.Equal(s.Room(l, 4, start), 5)
	is.Equal(s.Room(l, 12, start), 0)
	is.True(!s.May(l, 1, 12, start.Add(time.Second/2)))
	is.Equal(s.Room(l, 4, start.Add(2*time.Second)), 6)
}

// However often it asks, a node sends no more than its share and the one saved up.
func TestNodeKeepsToItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{PerSecond: float64(rapid.IntRange(1, 50).Draw(t, "per second"))}
		nodes := rapid.IntRange(1, 400).Draw(t, "nodes")
		s := NewSender(rapid.Float64Range(0, 1).Draw(t, "phase"), start)
		sent, now := 0, start
		for range rapid.IntRange(1, 200).Draw(t, "asked") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if s.May(l, nodes, 0, now) {
				s.Send(now)
				sent++
			}
		}
		share := 1 + now.Sub(start).Seconds()*l.PerSecond/float64(nodes)
		if float64(sent) > share+1e-6 {
			t.Fatalf("sent %d, share %.2f", sent, share)
		}
	})
}
