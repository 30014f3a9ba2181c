package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/roster"
)

// plainLoad is a small plain service behind many nodes: requests without a key that last
// 60 ms. Rates and slots follow the description of such services; two thirds of the slots
// are taken, and each node starts two requests a second.
type plainLoad struct{ nodes, targets, slots int }

// waitShare returns the share of the requests that find no free slot at their target, with
// counts that are renewed at each interval, half of age, and are then one interval old.
func (l plainLoad) waitShare(p Policy, age time.Duration, seed uint64) float64 {
	const duration, ticks = 60, 10_000 // ticks are milliseconds
	rng := rand.New(rand.NewPCG(seed, 1))
	perTick := float64(l.targets*l.slots) * 2 / 3 / duration
	targets := make([]*roster.Target, l.targets)
	for i := range targets {
		targets[i] = &roster.Target{ID: fmt.Sprint(i), Slots: l.slots}
	}
	inProgress, own := make([]int, l.targets), make([][]int, l.nodes)
	known := make([][]int, l.nodes) // the counts available to each node
	for n := range l.nodes {
		own[n], known[n] = make([]int, l.targets), make([]int, l.targets)
	}
	history := make([][]int, 0, ticks)
	type end struct{ node, target int }
	ends := make(map[int][]end)
	interval := max(int(age.Milliseconds())/2, 1)
	asked, waited := 0, 0
	for tick := range ticks {
		for _, e := range ends[tick] {
			inProgress[e.target]--
			own[e.node][e.target]--
		}
		history = append(history, append([]int(nil), inProgress...))
		for n := range l.nodes {
			if (tick+n)%interval == 0 {
				copy(known[n], history[max(tick-interval, 0)])
			}
		}
		for next := rng.ExpFloat64(); next < perTick; next += rng.ExpFloat64() {
			n := rng.IntN(l.nodes)
			cands := make([]Candidate, l.targets)
			for i := range cands {
				cands[i] = Candidate{Target: targets[i], Running: max(known[n][i], own[n][i])}
			}
			at := 0
			for i, c := 0, pickUnkeyed(NewService(cands, p).eligible, Request{}, p, rng); i < l.targets; i++ {
				if targets[i] == c.Target {
					at = i
				}
			}
			asked++
			if inProgress[at] >= l.slots {
				waited++
			}
			inProgress[at]++
			own[n][at]++
			ends[tick+duration] = append(ends[tick+duration], end{n, at})
		}
	}
	return float64(waited) / float64(asked)
}

// Requests without a key are spread by headroom if the nodes' counts are older than the
// duration of these requests; otherwise the least loaded targets of the last counts would
// get the requests of all nodes until the next ones. Fleets of up to 16 nodes, whose counts
// are 0.2 s old, select the least loaded.
func TestPlainRequestsWithOldCounts(t *testing.T) {
	cfg := heartbeat.DefaultConfig()
	for _, l := range []plainLoad{{66, 9, 6}, {295, 12, 6}} {
		age := cfg.CountAgeFor(l.nodes)
		rule := PolicyFor(age)
		least, spread := rule, rule
		least.OldCounts, spread.OldCounts = false, true
		chosen, a, b := l.waitShare(rule, age, 1), l.waitShare(least, age, 1), l.waitShare(spread, age, 1)
		t.Logf("%d nodes, %d targets, counts %v old: no free slot for %.3f with the least loaded, %.3f spread by headroom",
			l.nodes, l.targets, age, a, b)
		if chosen > b || chosen >= a {
			t.Errorf("%d nodes: %.3f of the requests find no slot, %.3f with the least loaded", l.nodes, chosen, a)
		}
	}
	if PolicyFor(cfg.CountAgeFor(16)).OldCounts || !PolicyFor(cfg.CountAgeFor(17)).OldCounts {
		t.Error("the rule doesn't change between 16 and 17 nodes")
	}
}
