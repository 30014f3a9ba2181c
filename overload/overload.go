// Package overload decides which requests a node rejects while a service can't serve all of
// them in time. It does no I/O and has no clock: the caller passes the time and the load. A
// Gate is not safe for concurrent use.
//
// It handles surges beyond the capacity of the targets, targets that die under load, and
// workspaces that send many times their usual rate. Without it queues at the targets grow until
// hardly any answer is on time, and it is left to chance whose requests are served. Each node
// decides by itself, from the counts of all nodes: no call is needed, and the limits are the
// same everywhere.
package overload

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/knapweedgw/knapweedgw/returns"
	"github.com/knapweedgw/knapweedgw/worktime"
)

// Request holds the properties of a request on which the decision depends.
type Request struct {
	// Class is the kind of request; classes are compared with each other.
	Class string
	// Workspace is the sender's workspace, empty if there is none.
	Workspace string
	// Priority is the rank of the request's priority; 0 is the most urgent.
	Priority int
	// Remaining is the time until the caller's deadline, 0 for no deadline.
	Remaining time.Duration
	// Started reports whether a target has already started on the request and it continues at
	// another one. Such a request is never rejected, since the work done so far would be lost.
	Started bool
}

// Load is the load of all nodes together on those targets of a service that may receive
// requests.
type Load struct {
	// Running is the number of requests in progress there, Own the number of those that this
	// node sent. Slots is the number of requests that the targets process at a time.
	Running, Own, Slots int
	// Targets is the number of those targets, 0 if unknown.
	Targets int
	// Nodes is the number of live nodes, and Age the average age of the counts of the other
	// nodes.
	Nodes int
	Age   time.Duration
}

// Reason is the reason for a rejection.
type Reason int

// Reasons for a rejection.
const (
	// None means that the request is admitted.
	None Reason = iota
	// OverCapacity means that the service has no capacity for requests of this priority.
	OverCapacity
	// Surging means that the workspace sends much more than its usual share while the service
	// is short of capacity.
	Surging
)

// Decision is the outcome for one request, with the inputs that led to it.
type Decision struct {
	Reason Reason
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration
	// Utilization is the fraction of the capacity in use, and Limit the fraction from which
	// requests like this one are rejected. The capacity is the slots plus the requests that may
	// wait.
	Utilization, Limit float64
	// Load is the load as counted, Estimate the estimated number of requests in progress now.
	Load     Load
	Estimate float64
	// QueuePerSlot is the number of requests that may wait at a target for this one to be admitted, relative
	// to its slots.
	QueuePerSlot float64
	// Share is the fraction of the requests like this one that is admitted. Demand is the number
	// of slots that the requests of all nodes would occupy, and Capacity the number that can be
	// given out now to ranks up to this one.
	Share, Demand, Capacity float64
}

// Queued reports whether a request, if admitted, has to wait for a slot.
func (d Decision) Queued() bool { return d.Estimate >= float64(d.Load.Slots) }

// Admitted reports whether the request is admitted.
func (d Decision) Admitted() bool { return d.Reason == None }

// Config sets the limits.
type Config struct {
	// MaxQueuePerSlot bounds the number of waiting requests per slot: targets queue a few more requests
	// than they have slots, and what waits there can't go to another target.
	MaxQueuePerSlot float64
	// PriorityStep is the reduction of the limit for each rank of priority, and LowestRank the
	// rank from which it is reduced no further.
	PriorityStep float64
	LowestRank   int
	// SurgeStep is the reduction of the limit for a surging workspace.
	SurgeStep float64
	// SurgeFactor: a workspace surges while its share of the requests exceeds SurgeFactor times
	// the larger of its usual share and an equal share.
	SurgeFactor float64
	// StarvedFraction: the priority is ignored for classes and workspaces whose admission rate
	// is less than StarvedFraction of the overall one.
	StarvedFraction float64
	// MaxRamp is the width of the range below its limit over which a surging workspace is
	// rejected with increasing probability, if the counts are as old as the duration of a
	// request; it is narrower if they are younger.
	MaxRamp float64
	// RateSamples is the number of requests within half a second at which the node's own rate
	// and the other nodes' counts have equal weight in the estimate of the others' rate.
	RateSamples float64
	// MinSamples is the minimum number of requests of a class or a workspace in the window for
	// a meaningful rate.
	MinSamples int
	// MinRetryAfter is the RetryAfter at the start of a shortage, MaxRetryFraction the maximum
	// as a fraction of the caller's remaining time. RetrySpread is the jitter in both
	// directions, as a fraction.
	MinRetryAfter                 time.Duration
	MaxRetryFraction, RetrySpread float64

	// Shares selects admission by shares of the capacity in place of limits by rank. The fields
	// below apply to it only.
	Shares bool
	// Headroom is the fraction of the slots that ranks with more urgent ones leave free.
	Headroom float64
	// MinShare is the fraction of its part of the capacity that a rank always gets.
	MinShare float64
}

// DefaultConfig has steps that are several times the error of counts that are 0.2 s old, which is 1 to 2
// in 100 of the capacity of a full service. StarvedFraction is the half that each class and workspace
// keeps, as in an owner's queue. 15 samples have an error of about a quarter. Callers honour a RetryAfter of up to MaxRetryFraction of the time that they
// have left.
func DefaultConfig() Config {
	return Config{
		MaxQueuePerSlot: 2,
		PriorityStep:    0.05, LowestRank: 4,
		SurgeStep: 0.2, SurgeFactor: 2, MaxRamp: 0.6,
		RateSamples: 15, StarvedFraction: 0.5, MinSamples: 8,
		MinRetryAfter: 150 * time.Millisecond, MaxRetryFraction: 1.0 / 3, RetrySpread: 0.5,
	}
}

// SharesConfig returns the limits for admission by shares. It is designed for some ten requests a
// second at each of up to a hundred nodes, with counts that are up to 1.6 s old. Headroom is 3 of
// the 24 slots of an engine: urgent requests find a free one at engines with more than the mean
// load, too. MinShare is above the half that each rank keeps by the error of the measured demand.
func SharesConfig() Config {
	c := DefaultConfig()
	c.Shares, c.Headroom, c.MinShare = true, 0.12, 0.6
	return c
}

// Gate decides on the requests for one service.
type Gate struct {
	cfg        Config
	rng        *rand.Rand
	all        tally
	classes    map[string]*class
	workspaces map[string]*usage
	// startRate is the number of requests per second that this node starts.
	startRate rate
	// occupancy is the mean time that a request is in progress, with its wait for a slot;
	// serviceTime is the mean for requests that found a free slot.
	occupancy   average
	serviceTime worktime.Estimate
	// workBound is the mean of the times that few requests of each class take, so that the differences
	// between classes don't count as spread.
	workBound average
	// active is the number of workspaces with requests in the window, as of the bucket
	// activeBucket.
	active       int
	activeBucket int64
	// shortageStart is the time of the first rejection of the current shortage, lastRejection
	// that of the last one.
	shortageStart, lastRejection time.Time
	// part is this node's part of the fleet's requests lately.
	part fleetPart
	// shares is nil for limits by rank.
	shares *shares
}

// NewGate returns a gate without any observations.
func NewGate(cfg Config, rng *rand.Rand) *Gate {
	g := &Gate{
		cfg: cfg, rng: rng,
		classes: make(map[string]*class), workspaces: make(map[string]*usage),
		serviceTime: worktime.NewEstimate(serviceTimeWindow),
	}
	if cfg.Shares {
		g.shares = &shares{schedule: returns.New(returns.DefaultConfig(), rng)}
	}
	return g
}

// Admit decides whether a request may be sent to a target now.
func (g *Gate) Admit(r Request, l Load, now time.Time) Decision {
	d := Decision{Load: l}
	g.part.observe(l, now, unevenDecay)
	byShares := g.shares != nil && g.occupancy.samples > 0 && !r.Started
	if !byShares {
		d.Estimate = g.estimateRunning(l, now)
	}
	if r.Started {
		d.QueuePerSlot = g.queuePerSlot(r, newClass(), l)
		return d
	}
	kind, workspace := g.counters(r, now)
	d.QueuePerSlot = g.queuePerSlot(r, kind, l)
	if byShares {
		d.Reason = g.admitByShares(r, l, kind, workspace, now, &d)
	}
	if l.Slots > 0 {
		d.Utilization = d.Estimate / (float64(l.Slots) * (1 + d.QueuePerSlot))
	}
	if byShares {
		g.count(d.Admitted(), kind, workspace, now)
		return d
	}
	surging := g.isSurging(workspace)
	d.Limit = g.limit(r, surging, &kind.tally, &workspace.tally)
	admitted := d.Utilization < d.Limit
	if surging {
		admitted = g.rng.Float64()*g.ramp(l, d) < d.Limit-d.Utilization
	}
	g.count(admitted, kind, workspace, now)
	if admitted {
		return d
	}
	d.Reason = OverCapacity
	if surging {
		d.Reason = Surging
	}
	d.RetryAfter = g.RetryAfter(r.Remaining, now)
	return d
}

// count records a decision.
func (g *Gate) count(admitted bool, kind *class, workspace *usage, now time.Time) {
	g.all.count(admitted)
	kind.count(admitted)
	workspace.count(admitted)
	if admitted {
		g.startRate.add(now)
		return
	}
	g.recordRejection(now)
}

// Reject records that a request was rejected for another reason than the gate's, which is a shortage all
// the same, and returns its RetryAfter.
func (g *Gate) Reject(remaining time.Duration, now time.Time) time.Duration {
	g.recordRejection(now)
	return g.RetryAfter(remaining, now)
}

// RecordEndOf is RecordEnd for a request of a known class. Admission by shares weighs the classes
// by their durations.
func (g *Gate) RecordEndOf(class string, held time.Duration, queued bool) {
	g.RecordEnd(held, queued)
	kind, ok := g.classes[class]
	if !ok {
		return
	}
	kind.hold.observeWith(held.Seconds(), holdWeight)
	if !queued {
		kind.work.Observe(held)
		g.workBound.observe(kind.work.Bound().Seconds())
	}
}

// UsesShares reports whether the gate gives out capacity by shares.
func (g *Gate) UsesShares() bool { return g.shares != nil }

// RecordEnd records that a request was answered after it was in progress for held. queued
// reports whether it had to wait for a slot.
func (g *Gate) RecordEnd(held time.Duration, queued bool) {
	g.occupancy.observe(held.Seconds())
	if !queued {
		g.serviceTime.Observe(held)
	}
}

// MeanDuration returns how long requests that found a free slot take on average, 0 if unknown.
func (g *Gate) MeanDuration() time.Duration {
	return g.serviceTime.Mean()
}

// WorkBound returns the time that few requests which found a free slot take, 0 if unknown.
func (g *Gate) WorkBound() time.Duration {
	if g.workBound.samples > 0 {
		return time.Duration(g.workBound.mean * float64(time.Second))
	}
	return g.serviceTime.Bound()
}

// counters returns the counters of the request's class and workspace, rolled forward to now.
func (g *Gate) counters(r Request, now time.Time) (*class, *usage) {
	kind, ok := g.classes[r.Class]
	if !ok {
		kind = newClass()
		g.classes[r.Class] = kind
	}
	workspace, ok := g.workspaces[r.Workspace]
	if !ok {
		workspace = &usage{}
		g.workspaces[r.Workspace] = workspace
	}
	kind.priority = r.Priority
	if r.Remaining > 0 {
		kind.remaining.Observe(r.Remaining)
	}
	g.all.roll(now)
	kind.roll(now)
	workspace.roll(now, &g.all, g.inShortage(now))
	return kind, workspace
}

// estimateRunning estimates how many requests all nodes run now, from counts of the other nodes
// that have a certain age. Since then some of their requests have ended, and they have started
// new ones. Without this correction a node would keep admitting for as long as the counts are
// old, and then reject for as long: at twice the capacity and with counts as old as a tenth of
// a request's duration, a fifth of the capacity would be taken and released in oscillations.
func (g *Gate) estimateRunning(l Load, now time.Time) float64 {
	others := float64(l.Running - l.Own)
	if g.occupancy.samples == 0 || g.occupancy.mean <= 0 {
		return float64(l.Own) + others
	}
	remaining := math.Exp(-l.Age.Seconds() / g.occupancy.mean)
	return float64(l.Own) + others*remaining + g.othersStartRate(l, others, now)*g.occupancy.mean*(1-remaining)
}

// othersStartRate estimates how many requests per second the other nodes start. To the extent
// that this node has started enough requests lately, it assumes the same rate for each of them, or if it has
// most requests the rate that goes with their part; otherwise the rate that keeps their number of running requests constant.
func (g *Gate) othersStartRate(l Load, others float64, now time.Time) float64 {
	seen := g.startRate.decayed(now)
	weight := seen / (seen + g.cfg.RateSamples)
	othersPerOwn := float64(max(l.Nodes-1, 0))
	if part, ok := g.unevenPart(l); ok {
		othersPerOwn = (1 - part) / part
	}
	assumedRate := othersPerOwn * g.startRate.perSecond(now)
	steadyRate := others / g.occupancy.mean
	return weight*assumedRate + (1-weight)*steadyRate
}

// ramp returns the width of a surging workspace's ramp. Such a workspace alone could fill the
// service before the counts show it: with a hard limit, admissions and rejections would
// oscillate and take capacity from the other workspaces too. The ramp does not start while a
// slot is free.
func (g *Gate) ramp(l Load, d Decision) float64 {
	if g.occupancy.mean <= 0 {
		return 0
	}
	width := g.cfg.MaxRamp * min(l.Age.Seconds()/g.occupancy.mean, 1)
	return max(min(width, d.Limit-g.freeBelow(l)/(1+d.QueuePerSlot)), 0)
}

// limit returns the utilization from which a request is rejected.
func (g *Gate) limit(r Request, surging bool, class, workspace *tally) float64 {
	limit := 1.0
	switch {
	case surging:
		return limit - g.cfg.SurgeStep - g.priorityStep(r)
	case g.isStarved(class) || g.isStarved(workspace):
		return limit
	}
	return limit - g.priorityStep(r)
}

func (g *Gate) priorityStep(r Request) float64 {
	return g.cfg.PriorityStep * float64(min(max(r.Priority, 0), g.cfg.LowestRank))
}

// isStarved reports whether the admission rate of a counter is much lower than the overall one.
func (g *Gate) isStarved(t *tally) bool {
	return t.offered() >= g.cfg.MinSamples && t.admittedFraction() < g.cfg.StarvedFraction*g.all.admittedFraction()
}

// isSurging reports whether a workspace sends much more than both its usual share and an equal
// share.
func (g *Gate) isSurging(w *usage) bool {
	all := g.all.offered()
	if w.offered() < g.cfg.MinSamples || all == 0 {
		return false
	}
	share := float64(w.offered()) / float64(all)
	equal := 1 / float64(max(g.activeWorkspaces(), 1))
	return share > g.cfg.SurgeFactor*max(w.usualShare, equal)
}

// activeWorkspaces returns the number of workspaces with requests in the window. It counts them
// once per bucket, since there may be thousands.
func (g *Gate) activeWorkspaces() int {
	if g.activeBucket == g.all.bucket && g.active > 0 {
		return g.active
	}
	g.active, g.activeBucket = 0, g.all.bucket
	for _, w := range g.workspaces {
		if g.all.bucket-w.bucket < buckets && w.offered() > 0 {
			g.active++
		}
	}
	return g.active
}
