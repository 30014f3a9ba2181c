package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/knapweedgw/knapweedgw/affinity"
	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/roster"
	"github.com/knapweedgw/knapweedgw/routing"
)

// kind is a class of requests in the simulated traffic.
type kind struct {
	perTick  float64 // arrivals a millisecond over all nodes
	work     float64 // mean milliseconds in a slot of an idle target
	spread   float64 // standard deviation of the work, as a fraction of the mean
	priority int     // 0 leaves the queue first
	keys     int
	tokens   int // in a key's prompt parts
	// surge is the factor by which the surging workspace increases its requests.
	surge float64
}

// world is a service and the nodes in front of it, in virtual time: one tick is one
// millisecond. Nodes use the same views and affinity tables as in production, and get
// each other's state in reports that are sent to one batch of nodes after the other. A
// target's own report of its load comes with the start of a response.
type world struct {
	nodes, targets, slots, domains int
	// interval is the time between two reports from each node to each other, to test counts
	// of another age; 0 runs the exchange of the heartbeat package.
	interval time.Duration
	kinds    []kind
	// surgeShare is the share of the keys that belong to the surging workspace.
	surgeShare float64
	// burst is the number of requests that arrive together at one node.
	burst int
	// popularity: the i-th key is requested i^-popularity times as often as the first.
	popularity float64
	// speeds are factors of the time that work takes, each for an equal number of targets;
	// slowing is the fraction by which each concurrent request prolongs it.
	speeds  []float64
	slowing float64
	// waiting is the number of requests that may queue at a target, as a fraction of its slots.
	waiting float64
	// At the tick leaveAt the first leavers targets of a failure domain start draining;
	// leaveTicks later they are removed.
	leavers, leaveAt int
	// The surge lasts from the tick warm to the tick ticks.
	warm, ticks int
	// spill, if set, replaces the package's rule.
	spill spillRule
}

// spillRule selects, among the available candidates, the target of a key whose holders are
// full.
type spillRule func(s Service, available []*Candidate, req Request, rng *rand.Rand) *Candidate

// result holds the counts of the surge.
type result struct {
	asked int
	// over is the number of requests to a target over the bound of twice the mean + 3.
	over int
	// worst is their greatest share in any five seconds.
	worst float64
	// copies is how often a key came to a target for the first time, also before the surge;
	// moved are the tokens that were transferred for it, counted twice between failure domains;
	// again are the tokens that were prefilled there although another target cached them.
	copies, moved, again int
	// mean is the mean load of a target. countError is the standard deviation of the
	// difference between a selected target's load and the node's figure for it.
	mean, countError float64
}

func (r result) overShare() float64 { return float64(r.over) / float64(max(r.asked, 1)) }

type simKey struct {
	hash uint64
	kind int
}

type simRequest struct {
	kind         kind
	node, target int
}

type simNode struct {
	name, domain         string
	view                 *heartbeat.View
	machine              *heartbeat.Machine
	parts                *affinity.Table
	running              []int // by target
	reported, reportedAt []int // the targets' own load reports and their ticks, by target
	uses                 []affinity.Use
	usesAt               []int
	nextPeer             int
	next                 float64 // tick of the next batch of reports
	sequence             uint64
}

type simTarget struct {
	*roster.Target
	speed               float64
	inProgress, running int // inProgress are those that run or wait
	gone                bool
	queue               []simRequest
}

type sim struct {
	world
	rng     *rand.Rand
	members []*simNode
	engines []*simTarget
	cands   []Candidate // reused for each choice
	// keys are those of each kind, sums the cumulative weights of the keys, before the surge
	// and during it.
	keys        [][]simKey
	sums        [2][][]float64
	inProgress  int // by all targets
	remaining   int // targets that are not removed
	ends        map[int][]simRequest
	targetIndex map[string]int // index of a target by its ID
	// nodeIndex is the index of a node by its name.
	nodeIndex map[string]int
	sent      map[[2]uint64]bool
	read      map[uint64]bool
	sum       struct{ inProgress, countError, countError2 float64 }
	result
}

func (w world) start(seed uint64) *sim {
	s := &sim{
		world: w, rng: rand.New(rand.NewPCG(seed, 1)), ends: make(map[int][]simRequest), cands: make([]Candidate, 0, w.targets), remaining: w.targets,
		targetIndex: make(map[string]int), nodeIndex: make(map[string]int), sent: make(map[[2]uint64]bool), read: make(map[uint64]bool),
	}
	for i := range w.targets {
		id := fmt.Sprint("engine-", seed, "-", i)
		s.targetIndex[id] = i
		s.engines = append(s.engines, &simTarget{
			Target: &roster.Target{
				ID: id, Slots: w.slots, Hash: routing.Key(routing.Hash(id)), FailureDomain: fmt.Sprint(i % w.domains),
			},
			speed: w.speeds[i%len(w.speeds)],
		})
	}
	for i := range w.nodes {
		name := simName(i)
		s.nodeIndex[name] = i
		s.members = append(s.members, &simNode{
			name: name, domain: fmt.Sprint(i % w.domains), nextPeer: s.rng.IntN(w.nodes), next: s.rng.Float64() * s.batchInterval(),
			view:  heartbeat.NewView(heartbeat.DefaultConfig(), name),
			parts: affinity.NewTable(affinity.DefaultConfig()), running: make([]int, w.targets),
			reported: make([]int, w.targets), reportedAt: make([]int, w.targets),
		})
	}
	s.startExchange()
	for k := range w.kinds {
		s.drawKeys(k)
	}
	return s
}

// drawKeys draws the keys of a kind. Each belongs to the surging workspace with the
// probability surgeShare.
func (s *sim) drawKeys(at int) {
	k := s.kinds[at]
	var keys []simKey
	var calm, surge []float64
	a, b := 0.0, 0.0
	for i := range k.keys {
		weight, times := math.Pow(float64(i+1), -s.popularity), 1.0
		if s.rng.Float64() < s.surgeShare {
			times = k.surge
		}
		a, b = a+weight, b+weight*times
		keys, calm, surge = append(keys, simKey{s.rng.Uint64(), at}), append(calm, a), append(surge, b)
	}
	s.keys = append(s.keys, keys)
	s.sums[0], s.sums[1] = append(s.sums[0], calm), append(s.sums[1], surge)
}

func (s *sim) draw(kind int, surging bool) simKey {
	sums := s.sums[0][kind]
	if surging {
		sums = s.sums[1][kind]
	}
	at := s.rng.Float64() * sums[len(sums)-1]
	return s.keys[kind][sort.SearchFloat64s(sums, at)]
}

func simTime(tick int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(tick) * time.Millisecond)
}

func (s *sim) finish(tick int) {
	for _, r := range s.ends[tick] {
		t := s.engines[r.target]
		t.inProgress--
		t.running--
		s.inProgress--
		s.members[r.node].running[r.target]--
		s.begin(t, tick)
	}
	delete(s.ends, tick)
}

// leaveTicks is how long a draining target still serves the requests it has.
const leaveTicks = 2000

// removeTargets starts the drain of the first leavers targets at leaveAt and removes them
// leaveTicks later. Requests that still run there end as usual.
func (s *sim) removeTargets(tick int) {
	if tick != s.leaveAt && tick != s.leaveAt+leaveTicks {
		return
	}
	for i := range s.leavers {
		t := s.engines[i*s.domains]
		leaving := *t.Target
		leaving.Draining = true
		t.Target, t.gone = &leaving, tick != s.leaveAt
		if t.gone {
			s.remaining--
		}
	}
}

// begin fills the slots of a target from its queue, the most urgent request first.
func (s *sim) begin(t *simTarget, tick int) {
	for t.running < s.slots && len(t.queue) > 0 {
		first := 0
		for i, r := range t.queue {
			if r.kind.priority < t.queue[first].kind.priority {
				first = i
			}
		}
		r := t.queue[first]
		t.queue = slices.Delete(t.queue, first, first+1)
		work := r.kind.work * t.speed * (1 + s.slowing*float64(t.running)) * s.lognormal(r.kind.spread)
		t.running++
		n := s.members[r.node]
		n.reported[r.target], n.reportedAt[r.target] = t.inProgress, tick
		end := tick + max(1, int(work))
		s.ends[end] = append(s.ends[end], r)
	}
}

// lognormal draws a number from a lognormal distribution with the mean 1.
func (s *sim) lognormal(spread float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return math.Exp(sigma*s.rng.NormFloat64() - sigma*sigma/2)
}

func (s *sim) candidates(n *simNode, parts []affinity.Part, tick int) []Candidate {
	const reportedMaxAge = 1000 // ticks
	kept := n.parts.Cached(parts, simTime(tick))
	out := s.cands[:0]
	for i, t := range s.engines {
		if t.gone {
			continue
		}
		counted, reported := n.running[i]+n.othersCounts(t.Hash).Running, 0
		if n.reportedAt[i] > 0 && tick-n.reportedAt[i] < reportedMaxAge {
			reported = n.reported[i]
		}
		holding := kept[uint32(t.Hash)]
		out = append(out, Candidate{
			Target: t.Target, Running: max(counted, reported), CountedByNodes: counted,
			CachedTokens: holding.Tokens, Prefilled: holding.Prefilled,
		})
	}
	return out
}

// pick selects by the package's rule, or by spill for keys that spill over from their holders.
func (s *sim) pick(cands []Candidate, req Request) Choice {
	service := NewService(cands, PolicyFor(s.age()))
	c, _ := service.Pick(req, s.rng)
	if s.spill == nil || c.Reason == Cached || c.Reason == FirstUse {
		return c
	}
	var available []*Candidate
	for _, o := range service.eligible {
		if o.Running <= c.Limit && !req.full(o.Running, o.Slots) && !req.cachedBy(o) {
			available = append(available, o)
		}
	}
	if len(available) == 0 {
		return c
	}
	chosen := s.spill(service, available, req, s.rng)
	out := Choice{Target: chosen.Target, Running: chosen.Running}
	if from, ok := fetchSource(service.all, chosen); ok {
		out.FetchFrom = from.Target
	}
	return out
}

// send places one request and reports whether its target is over the bound.
func (s *sim) send(tick int, key simKey, node int, surging bool) (over bool) {
	k, n := s.kinds[key.kind], s.members[node]
	parts := []affinity.Part{{Hash: key.hash, Tokens: k.tokens}}
	req := Request{Key: key.hash, Shared: k.tokens, FailureDomain: n.domain, QueueFactor: s.waiting}
	c := s.pick(s.candidates(n, parts, tick), req)
	at := s.targetIndex[c.Target.ID]
	t := s.engines[at]
	over = t.inProgress*s.remaining > 2*s.inProgress+3*s.remaining
	s.record(c, key, t.inProgress, surging)
	s.sent[[2]uint64{key.hash, t.Hash}], s.read[key.hash] = true, true
	if n.parts.RecordSent(key.hash, uint32(t.Hash), simTime(tick)) {
		n.uses = append(n.uses, affinity.Use{Part: uint32(key.hash), Target: uint32(t.Hash)})
		n.usesAt = append(n.usesAt, tick)
	}
	t.inProgress++
	s.inProgress++
	n.running[at]++
	t.queue = append(t.queue, simRequest{kind: k, node: node, target: at})
	s.begin(t, tick)
	return over
}

// record updates the counts for a choice. Prompts are also counted before the surge, when
// most keys are new.
func (s *sim) record(c Choice, key simKey, inProgress int, surging bool) {
	if surging {
		countError := float64(inProgress - c.Running)
		s.sum.countError += countError
		s.sum.countError2 += countError * countError
	}
	if s.sent[[2]uint64{key.hash, c.Target.Hash}] {
		return
	}
	s.copies++
	switch {
	case c.FetchFrom != nil:
		s.moved += s.kinds[key.kind].tokens
		if c.FetchFrom.FailureDomain != c.Target.FailureDomain {
			s.moved += s.kinds[key.kind].tokens
		}
	case s.read[key.hash]:
		s.again += s.kinds[key.kind].tokens
	}
}

// arrive draws the requests of a tick: a Poisson-distributed number of bursts of each kind.
func (s *sim) arrive(tick int, surging bool) (asked, over int) {
	for at, k := range s.kinds {
		rate := k.perTick / float64(s.burst)
		if surging {
			rate *= 1 + s.surgeShare*(k.surge-1)
		}
		for next := s.rng.ExpFloat64(); next < rate; next += s.rng.ExpFloat64() {
			node := s.rng.IntN(s.nodes)
			for range s.burst {
				asked++
				if s.send(tick, s.draw(at, surging), node, surging) {
					over++
				}
			}
		}
	}
	return asked, over
}

func (w world) run(seed uint64) result {
	s := w.start(seed)
	var asked, over []int
	for tick := range w.ticks {
		s.finish(tick)
		s.removeTargets(tick)
		s.reports(tick)
		surging := tick >= w.warm
		a, o := s.arrive(tick, surging)
		if surging {
			asked, over = append(asked, a), append(over, o)
			s.sum.inProgress += float64(s.inProgress)
		}
	}
	s.asked, s.over, s.worst = sumOf(asked), sumOf(over), worstOf(asked, over)
	s.mean = s.sum.inProgress / float64(len(asked)*s.remaining)
	mean := s.sum.countError / float64(s.asked)
	s.countError = math.Sqrt(s.sum.countError2/float64(s.asked) - mean*mean)
	return s.result
}

// worstOf returns the greatest share of asked that was over the bound in any five seconds.
func worstOf(asked, over []int) float64 {
	const window = 5000 // ticks
	worst, a, o := 0.0, 0, 0
	for i := range asked {
		a, o = a+asked[i], o+over[i]
		if i >= window {
			a, o = a-asked[i-window], o-over[i-window]
		}
		if i >= window-1 {
			worst = max(worst, float64(o)/float64(max(a, 1)))
		}
	}
	return worst
}
