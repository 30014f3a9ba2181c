package router

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/affinity"
	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/notice"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/roster"
	"github.com/knapweedgw/knapweedgw/routing"
)

// simFleet is a fleet of pools on virtual time that exchange reports at a fixed interval.
type simFleet struct {
	nodes    []*simNode
	interval time.Duration
	sums     map[uint32]heartbeat.Sum
	now      time.Time
	rng      *rand.Rand
}

// simNode is a node of the fleet.
type simNode struct {
	*pool
	fleet    *simFleet
	reported map[uint32]heartbeat.Sum // in this node's last report
	ends     []simEnd
}

// simEnd is the scheduled end of a request.
type simEnd struct {
	at         time.Time
	assignment assignment
}

func (n *simNode) Targets(hashes []uint64, f func(i int, s heartbeat.Sum)) {
	for i, h := range hashes {
		all, own := n.fleet.sums[uint32(h)], n.reported[uint32(h)]
		f(i, heartbeat.Sum{
			Running: all.Running - own.Running,
			Counts: health.Counts{
				Answered: all.Counts.Answered - own.Counts.Answered, Failed: all.Counts.Failed - own.Counts.Failed,
			},
		})
	}
}
func (n *simNode) LiveNodes() int                      { return len(n.fleet.nodes) }
func (n *simNode) KnownNodes() int                     { return len(n.fleet.nodes) }
func (n *simNode) LimitShares() int                    { return len(n.fleet.nodes) }
func (n *simNode) Interval() time.Duration             { return n.fleet.interval }
func (n *simNode) CountAge() time.Duration             { return n.fleet.interval }
func (*simNode) FleetSize() int                        { return 1 }
func (*simNode) Position(uint64) (position, nodes int) { return 0, 1 }

func newSimFleet(nodes int, targets []roster.Target, interval time.Duration, seed uint64) *simFleet {
	f := &simFleet{interval: interval, now: start, rng: rand.New(rand.NewPCG(seed, seed))}
	registry := roster.NewRegistry()
	registry.Reset(targets, f.now)
	changed := registry.TakeChanges()
	for range nodes {
		n := &simNode{fleet: f}
		now := func() time.Time { return f.now }
		guard := quarantine.NewGuard(quarantine.DefaultConfig(), now, log.New(io.Discard), prometheus.NewRegistry())
		n.pool = newPool(n, guard, "z", log.New(io.Discard))
		n.pool.now, n.pool.rng = now, f.rng
		n.update(changed)
		f.nodes = append(f.nodes, n)
	}
	return f
}

// report exchanges the reports of all nodes.
func (f *simFleet) report() {
	f.sums = make(map[uint32]heartbeat.Sum)
	var uses []affinity.Use
	for _, n := range f.nodes {
		var r heartbeat.Report
		n.fillReport(&r, f.now)
		uses = append(uses, r.Uses...)
		n.reported = make(map[uint32]heartbeat.Sum)
		for _, t := range r.Targets {
			n.reported[t.Target] = heartbeat.Sum{
				Running: int(t.Running), Counts: health.Counts{Answered: int(t.Answered), Failed: int(t.Failed)},
			}
			sum := f.sums[t.Target]
			sum.Running += int(t.Running)
			sum.Counts = sum.Counts.Plus(n.reported[t.Target].Counts)
			f.sums[t.Target] = sum
		}
	}
	for _, n := range f.nodes {
		n.recordUses(uses)
	}
}

// simScenario is a simulated service.
type simScenario struct {
	nodes, targets int
	perSecond      float64
	interval       time.Duration
	// affected is the number of targets that shed the given share of their requests or leave.
	affected int
	shed     float64
}

const (
	simStep     = 5 * time.Millisecond
	simDuration = 12 * time.Second
	simWarmUp   = time.Second
	simRequest  = 300 * time.Millisecond
	simCooldown = 3 * time.Second
	simAttempts = 4
)

var simScenarios = map[string]simScenario{
	"small plain service": {nodes: 8, targets: 3, perSecond: 30, interval: 200 * time.Millisecond, affected: 1, shed: 0.6},
	"model service":       {nodes: 8, targets: 18, perSecond: 160, interval: 200 * time.Millisecond, affected: 5, shed: 0.6},
	"grown fleet":         {nodes: 91, targets: 60, perSecond: 600, interval: time.Second, affected: 15, shed: 0.6},
}

func (s simScenario) list() []roster.Target {
	var out []roster.Target
	for i := range s.targets {
		id := fmt.Sprint("t", i)
		hash := routing.Key(routing.Hash(id))
		out = append(out, roster.Target{ID: id, Service: service, Addr: "10.0.0.1:80", Slots: 16, Hash: hash})
	}
	return out
}

// simResult is the result of a simulation.
type simResult struct {
	requests, refused, unserved int
	// reached is the number of requests that arrived at affected targets, atEnd that of the
	// last second.
	reached, atEnd int
	// late is the number of cooldowns during which, after the first half second, a target got more
	// than two requests from the node that it had asked for the cooldown.
	late int
}

// simulate sends requests to the nodes. respond decides whether a target accepts one and which
// notice it answers; handle processes that answer at the node.
func (s simScenario) simulate(seed uint64, respond func(f *simFleet, t *roster.Target) (bool, notice.Notice),
	handle func(f *simFleet, n *simNode, l assignment, accepted bool, announced notice.Notice)) simResult {
	f := newSimFleet(s.nodes, s.list(), s.interval, seed)
	var out simResult
	arrivals := make(map[string][]time.Time) // arrivals during a cooldown, after its first half second
	until := make(map[string]time.Time)
	nextReport := f.now
	due := 0.0
	for end := f.now.Add(simDuration); f.now.Before(end); f.now = f.now.Add(simStep) {
		if !f.now.Before(nextReport) {
			f.report()
			nextReport = nextReport.Add(s.interval)
		}
		for _, n := range f.nodes {
			n.finish(f.now)
		}
		for due += s.perSecond * simStep.Seconds(); due >= 1; due-- {
			i := f.rng.IntN(len(f.nodes))
			n := f.nodes[i]
			out.requests++
			var tried []string
			served := false
			for range simAttempts {
				l, _, ok := n.acquire(criteria{service: service, tried: tried})
				if !ok {
					break
				}
				key := fmt.Sprint(i, l.target.ID)
				if slices.Contains(s.affectedIDs(), l.target.ID) {
					out.reached++
					if f.now.After(start.Add(simDuration - time.Second)) {
						out.atEnd++
					}
				}
				if f.now.Before(until[key]) && f.now.After(until[key].Add(-simCooldown+500*time.Millisecond)) {
					if arrivals[key] = append(arrivals[key], f.now); len(arrivals[key]) == 3 {
						out.late++
					}
				}
				accepted, announced := respond(f, l.target)
				if announced.RetryAfter > 0 && !f.now.Before(until[key]) {
					until[key], arrivals[key] = f.now.Add(announced.RetryAfter), nil
				}
				handle(f, n, l, accepted, announced)
				if accepted {
					n.ends = append(n.ends, simEnd{f.now.Add(simRequest), l})
					served = true
					break
				}
				out.refused++
				n.release(l, false)
				tried = append(tried, l.target.ID)
			}
			if !served {
				out.unserved++
			}
		}
	}
	return out
}

func (s simScenario) affectedIDs() []string {
	var out []string
	for i := range s.affected {
		out = append(out, fmt.Sprint("t", i))
	}
	return out
}

// finish ends the requests that are due.
func (n *simNode) finish(now time.Time) {
	n.ends = slices.DeleteFunc(n.ends, func(e simEnd) bool {
		if now.Before(e.at) {
			return false
		}
		n.release(e.assignment, true)
		n.observe(e.assignment.member, health.Answered)
		return true
	})
}

// Targets that shed requests and ask for a cooldown get no more requests than allowed, whether or
// not refusals count as failures in the health state. The test logs what the refusals cost in
// both cases.
func TestFleetHonorsCooldowns(t *testing.T) {
	for name, s := range simScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, counts := range []bool{true, false} {
				for seed := range uint64(3) {
					r := s.simulate(seed, s.shedRequest, func(_ *simFleet, n *simNode, l assignment, accepted bool, announced notice.Notice) {
						if !accepted && counts {
							n.observe(l.member, health.Refused)
						}
						n.recordNotice(l, announced)
					})
					t.Logf("health counts refusals: %v, seed %d: %+v", counts, seed, r)
					if r.late > 0 {
						t.Errorf("seed %d: %d cooldowns were not observed", seed, r.late)
					}
				}
			}
		})
	}
}

func (s simScenario) shedRequest(f *simFleet, t *roster.Target) (bool, notice.Notice) {
	since := f.now.Sub(start)
	if since < simWarmUp || !slices.Contains(s.affectedIDs(), t.ID) || f.rng.Float64() >= s.shed {
		return true, notice.Notice{}
	}
	return false, notice.Notice{RetryAfter: simCooldown}
}

// A node sends no requests to targets that announced to it that they leave, and each node
// learns this only from an answer to itself. The test logs how many requests reach such
// targets, and how many if the first node to learn it informed the others.
func TestEachNodeLearnsThatATargetLeaves(t *testing.T) {
	for name, s := range simScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, broadcast := range []bool{false, true} {
				for seed := range uint64(3) {
					heard := make(map[string]int)
					r := s.simulate(seed, s.announceLeaving, func(f *simFleet, n *simNode, l assignment, _ bool, announced notice.Notice) {
						if !announced.Leaving {
							return
						}
						heard[fmt.Sprintf("%p %s", n, l.target.ID)]++
						n.recordNotice(l, announced)
						if broadcast {
							f.broadcast(l.target, announced)
						}
					})
					t.Logf("told to others: %v, seed %d: %+v", broadcast, seed, r)
					for at, times := range heard {
						if times > 1 {
							t.Errorf("seed %d: %d requests from %s", seed, times, at)
						}
					}
				}
			}
		})
	}
}

func (s simScenario) announceLeaving(f *simFleet, t *roster.Target) (bool, notice.Notice) {
	gone := f.now.Sub(start) >= simWarmUp && slices.Contains(s.affectedIDs(), t.ID)
	return true, notice.Notice{Leaving: gone}
}

// broadcast passes a notice to all nodes at once, which is faster than any real propagation.
func (f *simFleet) broadcast(t *roster.Target, announced notice.Notice) {
	for _, n := range f.nodes {
		n.recordNotice(assignment{member: n.members[t.ID], target: t}, announced)
	}
}
