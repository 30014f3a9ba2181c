// Package overload decides which requests a node turns away while a service
// can't serve all of them in time. It is pure: the caller passes the time and
// the load, and one goroutine at a time may use a Gate.
//
// It answers surges beyond what the targets hold, targets that die while the
// traffic goes on, and workspaces that send many times their usual. Without it
// queues at the targets grow until hardly any answer is on time, and whose
// requests are served is left to chance. Each node decides by itself, from
// counts of all nodes: no call is needed, and the limits are the same everywhere.
package overload

import (
	"math"
	"math/rand/v2"
	"time"
)

// Request is what the decision needs to know of a request.
type Request struct {
	// Class is the kind of request; classes are compared with each other.
	Class string
	// Workspace sent the request, empty for none.
	Workspace string
	// Priority is its rank; 0 is the most urgent.
	Priority int
	// TargetLatency is the time within which an answer should begin, 0 for none.
	TargetLatency time.Duration
	// Remaining is the time until the caller gives up, 0 for never.
	Remaining time.Duration
	// Begun says that a target has begun the request already and that it goes on
	// at another one. It is never turned away: what was done would be lost.
	Begun bool
}

// Load is what all nodes together run at the targets of a service that may get
// work.
type Load struct {
	// Running is the number of requests in progress there, Own that of this
	// node's. Slots is the number of requests that the targets run at a time.
	Running, Own, Slots int
	// Nodes is the number of live nodes, and Age how old the counts of the others
	// are on average.
	Nodes int
	Age   time.Duration
}

// Reason says why a request is turned away.
type Reason int

// The reasons.
const (
	// None means that the request is admitted.
	None Reason = iota
	// Full means that the service has no place for requests of this urgency.
	Full
	// Surging means that the workspace sends much more than its usual share
	// while the service is short of places.
	Surging
)

// Decision is the outcome for one request, with the inputs that decided it.
type Decision struct {
	Reason Reason
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
	// Utilization is the part of the places taken, and Limit the part from
	// which requests like this one are turned away.
	Utilization, Limit float64
	// Load is what the service ran by the counts, Estimate what it runs now.
	Load     Load
	Estimate float64
	// Late says that the caller has come back too late to be answered on time.
	Late bool
	// Waiting is how many requests like this one may wait at a target, in parts
	// of its slots.
	Waiting float64
}

// Queued says whether a request that is admitted has to wait for a slot.
func (d Decision) Queued() bool { return d.Estimate >= float64(d.Load.Slots) }

// Admitted says whether the request may go on.
func (d Decision) Admitted() bool { return d.Reason == None }

// Config sets the limits.
type Config struct {
	// QueuePart is the part of a request's target latency that it may wait at
	// its target; the rest is for the work and the way.
	QueuePart float64
	// MaxQueue bounds the waiting requests, in parts of the slots.
	MaxQueue float64
	// PriorityStep is how much lower the limit is for each rank of priority, and
	// LowestRank the rank from which it falls no further.
	PriorityStep float64
	LowestRank   int
	// LateStep is how much lower the limit is for callers that have come back so
	// late that their answer can't be on time: who has waited for over LatePart of
	// the target latency.
	LateStep, LatePart float64
	// SurgeStep is how much lower the limit is for a surging workspace.
	SurgeStep float64
	// SurgeFactor: a workspace surges while its share of the requests is over
	// SurgeFactor times its usual share and an equal one.
	SurgeFactor float64
	// StarvedPart: classes and workspaces that are admitted less than StarvedPart
	// times as often as all go before any priority.
	StarvedPart float64
	// MaxRamp is how far below its limit a surging workspace begins to be turned
	// away, ever more often, if the counts are as old as requests last; less if
	// they are younger.
	MaxRamp float64
	// RateSamples is the number of requests within half a second at which the
	// node's own rate says as much of the others' as their counts do.
	RateSamples float64
	// MinSamples is the least number of requests of a class or a workspace in
	// the window that says anything.
	MinSamples int
	// MinRetryAfter is the RetryAfter at the start of a shortage, MaxRetryPart the
	// longest in parts of the time that the caller has left. RetrySpread is how
	// far it is spread both ways, in parts.
	MinRetryAfter             time.Duration
	MaxRetryPart, RetrySpread float64
}

// DefaultConfig leaves two thirds of the target latency for the work itself and
// for what the estimate of the queue lacks; with half, a tenth more of the
// admitted requests of TestSurgeOfAllIsServedToCapacity were late. The steps are
// several times the error of counts that are 0.2 s old, which is 1 to 2 in 100 of
// the places of a full service, and keep each limit above half of the slots:
// below that, refusals are never right. StarvedPart is well above the quarter
// below which users call a class or workspace starved. 15 samples have an error of
// about a quarter. With a ramp of 0.6 the other workspaces of
// TestSurgingWorkspaceAtSmallService have 0.99 of their requests served, with 0.4
// 0.97, without 0.60. Callers who return within 75 to 225 ms, half of the shortest
// target latencies known, may still be answered on time.
func DefaultConfig() Config {
	return Config{
		QueuePart: 0.35, MaxQueue: 2,
		PriorityStep: 0.05, LowestRank: 4, LateStep: 0.12, LatePart: 0.5,
		SurgeStep: 0.2, SurgeFactor: 2, MaxRamp: 0.6,
		RateSamples: 15, StarvedPart: 0.45, MinSamples: 8,
		MinRetryAfter: 150 * time.Millisecond, MaxRetryPart: 1.0 / 3, RetrySpread: 0.5,
	}
}

// Gate decides for one service.
type Gate struct {
	cfg        Config
	rng        *rand.Rand
	all        tally
	classes    map[string]*class
	workspaces map[string]*usage
	// begun is how many requests a second this node begins.
	begun rate
	// held is the mean time that a request takes its place, work that of those
	// that found a free slot.
	held, work average
	// active is the number of workspaces with requests in the window, as of the
	// bucket activeSlot.
	active     int
	activeSlot int64
	// shortest is the shortest target latency of the classes.
	shortest time.Duration
	// fullSince is when requests began to be turned away, lastFull when one was
	// turned away last.
	fullSince, lastFull time.Time
}

// NewGate returns a gate that has seen nothing.
func NewGate(cfg Config, rng *rand.Rand) *Gate {
	return &Gate{
		cfg: cfg, rng: rng,
		classes: make(map[string]*class), workspaces: make(map[string]*usage),
	}
}

// Admit decides whether a request may go to a target now.
func (g *Gate) Admit(r Request, l Load, now time.Time) Decision {
	d := Decision{Load: l, Estimate: g.running(l, now), Waiting: g.queue(r.TargetLatency)}
	if r.Begun {
		return d
	}
	kind, workspace := g.tallies(r, now)
	if l.Slots > 0 {
		d.Utilization = d.Estimate / (float64(l.Slots) * (1 + d.Waiting))
	}
	surging := g.surges(workspace)
	d.Late = kind.isLate(r, g.cfg.LatePart)
	d.Limit = g.limit(r, d.Late, surging, &kind.tally, &workspace.tally)
	admitted := d.Utilization < d.Limit
	if surging {
		admitted = g.rng.Float64()*g.ramp(l, d) < d.Limit-d.Utilization
	}
	for _, t := range []*tally{&g.all, &kind.tally, &workspace.tally} {
		t.count(admitted)
	}
	if admitted {
		g.begun.add(now)
		return d
	}
	d.Reason = Full
	if surging {
		d.Reason = Surging
	}
	g.noteFull(now)
	d.RetryAfter = g.RetryAfter(r.Remaining, now)
	return d
}

// Answered records that a request was answered and took its place for held. queued
// says that it had to wait for a slot.
func (g *Gate) Answered(held time.Duration, queued bool) {
	g.held.observe(held.Seconds())
	if !queued {
		g.work.observe(held.Seconds())
	}
}

// tallies returns those of the request's class and workspace, up to date.
func (g *Gate) tallies(r Request, now time.Time) (*class, *usage) {
	kind, ok := g.classes[r.Class]
	if !ok {
		kind = &class{}
		g.classes[r.Class] = kind
	}
	workspace, ok := g.workspaces[r.Workspace]
	if !ok {
		workspace = &usage{}
		g.workspaces[r.Workspace] = workspace
	}
	g.all.roll(now)
	kind.roll(now)
	workspace.roll(now, &g.all, g.isFull(now))
	return kind, workspace
}

// running estimates what all nodes run now from counts of the others that are
// some time old. Since then a part of what they ran has ended, and they have begun
// new requests. Without that, a node would go on admitting for as long as the
// counts are old, and then turn away as long: at twice the capacity and counts as
// old as a tenth of what a request lasts, a fifth of the places would be taken and
// given back in waves.
func (g *Gate) running(l Load, now time.Time) float64 {
	others := float64(l.Running - l.Own)
	if g.held.samples == 0 || g.held.mean <= 0 {
		return float64(l.Own) + others
	}
	left := math.Exp(-l.Age.Seconds() / g.held.mean)
	return float64(l.Own) + others*left + g.othersBegin(l, others, now)*g.held.mean*(1-left)
}

// othersBegin estimates how many requests a second the other nodes begin: as many
// each as this one, as far as it has begun enough lately to say so, else as many as
// keep the others at what they ran.
func (g *Gate) othersBegin(l Load, others float64, now time.Time) float64 {
	seen := g.begun.decayed(now)
	weight := seen / (seen + g.cfg.RateSamples)
	alike := float64(max(l.Nodes-1, 0)) * g.begun.perSecond(now)
	steady := others / g.held.mean
	return weight*alike + (1-weight)*steady
}

// roomy is the part of the slots below which nobody is turned away: above the half
// below which refusals are never right, by the error of old counts.
const roomy = 0.7

// ramp returns the width of a surging workspace's ramp. Such a workspace alone
// could fill the service before the counts show it: at a hard limit it would be
// admitted and turned away in waves that take the others' places too. The ramp
// begins where the slots are full, not before.
func (g *Gate) ramp(l Load, d Decision) float64 {
	if g.held.mean <= 0 {
		return 0
	}
	width := g.cfg.MaxRamp * min(l.Age.Seconds()/g.held.mean, 1)
	return max(min(width, d.Limit-roomy/(1+d.Waiting)), 0)
}

// unknownQueue is the queue of a gate that has seen no request end yet, as after
// a start: as many as there are slots.
const unknownQueue = 1

// queue returns how many requests may wait at a target, in parts of its slots.
// One that comes behind as many as the target has slots waits for about the mean
// time that a request is worked on. The shortest target latency of the service
// counts, for all alike: otherwise a class with a longer one would find room where
// a more urgent one doesn't.
func (g *Gate) queue(target time.Duration) float64 {
	if target > 0 && (g.shortest == 0 || target < g.shortest) {
		g.shortest = target
	}
	work := g.work.mean
	if g.work.samples == 0 {
		work = g.held.mean
	}
	if work <= 0 {
		return unknownQueue
	}
	return min(g.cfg.QueuePart*g.shortest.Seconds()/work, g.cfg.MaxQueue)
}

// limit returns the utilization from which a request is turned away.
func (g *Gate) limit(r Request, late, surging bool, class, workspace *tally) float64 {
	limit := 1.0
	if late {
		limit -= g.cfg.LateStep
	}
	switch {
	case surging:
		return limit - g.cfg.SurgeStep - g.priorityStep(r)
	case g.starved(class) || g.starved(workspace):
		return limit
	}
	return limit - g.priorityStep(r)
}

func (g *Gate) priorityStep(r Request) float64 {
	return g.cfg.PriorityStep * float64(min(max(r.Priority, 0), g.cfg.LowestRank))
}

// starved says whether the requests of a tally are admitted much less often
// than all.
func (g *Gate) starved(t *tally) bool {
	return t.offered() >= g.cfg.MinSamples && t.share() < g.cfg.StarvedPart*g.all.share()
}

// surges says whether a workspace sends much more than its usual share and than
// an equal one.
func (g *Gate) surges(w *usage) bool {
	all := g.all.offered()
	if w.offered() < g.cfg.MinSamples || all == 0 {
		return false
	}
	share := float64(w.offered()) / float64(all)
	equal := 1 / float64(max(g.activeWorkspaces(), 1))
	return share > g.cfg.SurgeFactor*max(w.usual, equal)
}

// activeWorkspaces returns the number of workspaces with requests in the window.
// It counts once a bucket, since there may be thousands.
func (g *Gate) activeWorkspaces() int {
	if g.activeSlot == g.all.slot && g.active > 0 {
		return g.active
	}
	g.active, g.activeSlot = 0, g.all.slot
	for _, w := range g.workspaces {
		if g.all.slot-w.slot < buckets && w.offered() > 0 {
			g.active++
		}
	}
	return g.active
}

// fullGap is the time without a refusal that ends a shortage: longer than the
// pauses between refusals while a surge goes on.
const fullGap = time.Second

func (g *Gate) isFull(now time.Time) bool {
	return !g.lastFull.IsZero() && now.Sub(g.lastFull) < fullGap
}

func (g *Gate) noteFull(now time.Time) {
	if !g.isFull(now) {
		g.fullSince = now
	}
	g.lastFull = now
}

// RetryAfter returns when a caller with the given time left should come back. A
// shortage that has lasted for a while will on average last for as long again,
// so callers are sent away for that long, spread from half to one and a half
// times, that they don't all return at once. Callers return within a third of
// their time, whatever they are told.
func (g *Gate) RetryAfter(remaining time.Duration, now time.Time) time.Duration {
	lasted := time.Duration(0)
	if g.isFull(now) {
		lasted = now.Sub(g.fullSince)
	}
	after := max(lasted, g.cfg.MinRetryAfter)
	spread := g.cfg.RetrySpread * (2*g.rng.Float64() - 1)
	after = time.Duration((1 + spread) * float64(after))
	if remaining > 0 {
		after = min(after, time.Duration(g.cfg.MaxRetryPart*float64(remaining)))
	}
	return max(after, g.cfg.MinRetryAfter/2)
}
