package rejectlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// policy decides whether a node of the model may send to a target, by its counts.
type policy int

const (
	// byCounts sends to the least loaded target by the counts, as without a limit.
	byCounts policy = iota
	// noQueue sends only to targets with a free slot by the counts.
	noQueue
	// byQuota is the policy of this package.
	byQuota
)

func (p policy) String() string {
	return [...]string{"least loaded", "free slot by the counts", "quota"}[p]
}

// fleetModel is a fleet in front of targets that terminate at too many rejections. Time passes in steps of
// a millisecond.
type fleetModel struct {
	policy         policy
	nodes, targets int
	slots, limit   int
	age            int // milliseconds between two exchanges of counts
	load           float64
	rng            *rand.Rand
}

type modelTarget struct {
	run      int // counts its starts
	running  int
	downTill int
	rejected []int // times of the rejections in the last second
}

type outcome struct{ sent, served, rejected, fallen int }

func (o outcome) String() string {
	return fmt.Sprintf("%d sent, %d served, %d rejected, %d fallen", o.sent, o.served, o.rejected, o.fallen)
}

const (
	modelMillis  = 8000
	modelWork    = 300 // mean milliseconds of a request
	modelOutage  = 3000
	modelConfirm = 20 // milliseconds until a node learns of a rejection
)

type modelEvent struct {
	node, target int
	run          int // of the target
}

// run returns what happens in modelMillis.
func (f fleetModel) run() outcome {
	var out outcome
	targets := make([]modelTarget, f.targets)
	own := make([][]int, f.nodes)   // requests in progress by node and target
	known := make([][]int, f.nodes) // by target, the others' requests at the last exchange
	shares := make([][]Share, f.nodes)
	positions := f.positions()
	for n := range f.nodes {
		own[n], known[n], shares[n] = make([]int, f.targets), make([]int, f.targets), make([]Share, f.targets)
	}
	ends, rejections := make(map[int][]modelEvent), make(map[int][]modelEvent)
	perMilli := f.load * float64(f.targets*f.slots) / modelWork
	for ms := range modelMillis {
		now := time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond)
		for _, e := range ends[ms] {
			if e.run == targets[e.target].run {
				targets[e.target].running--
			}
			own[e.node][e.target]--
		}
		for _, e := range rejections[ms] {
			own[e.node][e.target]--
			shares[e.node][e.target].Rejected(f.limit, f.nodes, now)
		}
		if ms%f.age == 0 {
			f.exchange(own, known)
		}
		for arrivals := f.arrivals(perMilli); arrivals > 0; arrivals-- {
			n := f.rng.IntN(f.nodes)
			out.sent++
			t, ok := f.pick(targets, own[n], known[n], shares[n], positions, n, ms, now)
			if !ok {
				continue
			}
			own[n][t]++
			e := modelEvent{node: n, target: t, run: targets[t].run}
			if f.arrive(&targets[t], ms, &out) {
				end := ms + 1 + int(f.rng.ExpFloat64()*modelWork)
				ends[end] = append(ends[end], e)
				continue
			}
			rejections[ms+modelConfirm] = append(rejections[ms+modelConfirm], e)
		}
	}
	return out
}

func (f fleetModel) arrivals(mean float64) int {
	n := int(mean)
	if f.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

func (f fleetModel) exchange(own, known [][]int) {
	for t := range f.targets {
		all := 0
		for n := range own {
			all += own[n][t]
		}
		for n := range own {
			known[n][t] = all - own[n][t]
		}
	}
}

// arrive reports whether a target that is up accepts a request at ms.
func (f fleetModel) arrive(t *modelTarget, ms int, out *outcome) bool {
	if t.running < f.slots {
		t.running++
		out.served++
		return true
	}
	out.rejected++
	t.rejected = append(t.rejected, ms)
	for ms-t.rejected[0] >= 1000 {
		t.rejected = t.rejected[1:]
	}
	if len(t.rejected) > f.limit {
		out.fallen++
		t.downTill, t.rejected, t.running = ms+modelOutage, nil, 0
		t.run++
	}
	return false
}

// positions returns the position of each node in the order for each target.
func (f fleetModel) positions() [][]int {
	out := make([][]int, f.targets)
	for t := range out {
		out[t] = f.rng.Perm(f.nodes)
	}
	return out
}

// pick returns the target for a request of node n.
func (f fleetModel) pick(
	targets []modelTarget, own, known []int, shares []Share, positions [][]int, n, ms int, now time.Time,
) (best int, ok bool) {
	best = -1
	for _, t := range f.rng.Perm(f.targets) {
		if ms < targets[t].downTill {
			continue // its connections are refused
		}
		running := own[t] + known[t]
		allowed := true
		switch f.policy {
		case noQueue:
			allowed = running < f.slots
		case byQuota:
			allowed = shares[t].Allow(own[t], Quota(f.slots, f.nodes, positions[t][n]), now)
		}
		if allowed && (best < 0 || running < own[best]+known[best]) {
			best = t
		}
	}
	return best, best >= 0
}

// Guards against targets that terminate one after the other in a surge, since all nodes send to those
// that have free slots by old counts: in one time in which a service's targets announce a limit, at most
// 2 and a tenth of their number may terminate.
func TestSurgeEndsFewTargetsThatAnnounceALimit(t *testing.T) {
	for _, tt := range []struct {
		nodes, targets, age int
		load                float64
	}{{8, 18, 200, 0.6}, {8, 18, 200, 1.5}, {31, 60, 300, 1.5}, {295, 300, 710, 1.5}} {
		for seed := range uint64(3) {
			bound := 2 + tt.targets/10
			for _, p := range []policy{byCounts, noQueue, byQuota} {
				f := fleetModel{
					policy: p, nodes: tt.nodes, targets: tt.targets, age: tt.age, slots: 8, limit: 4, load: tt.load,
					rng: rand.New(rand.NewPCG(seed, 1)),
				}
				out := f.run()
				t.Logf("%d nodes, %d targets, load %.1f, seed %d, %s: %s", tt.nodes, tt.targets, tt.load, seed, p, out)
				if p == byQuota && out.fallen > bound {
					t.Errorf("%d targets terminated, %d allowed", out.fallen, bound)
				}
			}
		}
	}
}
