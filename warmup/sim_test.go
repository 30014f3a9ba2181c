package warmup

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/routing"
)

// The simulation has nodes in front of 60 engines of a chat service, the first few of which
// have just started, on virtual time. A request has a key. It is sent to an engine that has the
// key's prompt cached, otherwise to the best-ranked one. The nodes' counts of each other's
// requests are as old as the heartbeat exchange lets them get.

// Rates, keys and prompt tokens follow the description of such a service.
var simKinds = []simKind{
	{perSecond: 298, keys: 681, tokens: 699},
	{perSecond: 112, keys: 295, tokens: 10512},
	{perSecond: 187, keys: 327, tokens: 2041},
}

type simKind struct {
	perSecond    float64
	keys, tokens int
}

const (
	simTargets = 60
	simTick    = 5 * time.Millisecond
	// simBound is the maximum number of requests that may reach a cold target in any second: it
	// can handle 18 per second, and does not end yet at half as many again plus 5.
	simBound = 32
	// cacheReportDelay is the delay until all nodes have the report that a target caches a
	// prompt.
	cacheReportDelay = 500 * time.Millisecond
)

var simLimit = Limit{PerSecond: 18, Duration: 3 * time.Second}

// strategy is the way in which nodes send to cold targets.
type strategy struct {
	name string
	// shares: each node has the share of a RateShare, which starts at a phase of its own, or full
	// if startFull is set.
	shares, startFull bool
	// sendersPerTarget is the number of nodes that may send to a cold target at all, 0 for all.
	sendersPerTarget int
	// useReports: no node sends to a target that got PerSecond requests according to the
	// reports.
	useReports bool
}

var (
	loadBoundOnly   = strategy{name: "load bound only"}
	equalShares     = strategy{name: "equal shares, all due at once", shares: true, startFull: true}
	fewSenders      = strategy{name: "12 nodes per target, by rank", shares: true, startFull: true, sendersPerTarget: 12}
	reportsOnly     = strategy{name: "reports only", useReports: true}
	currentStrategy = strategy{name: "staggered shares and reports", shares: true, useReports: true}
)

// load is a scenario: the cold targets, the requests and the state of the nodes.
type load struct {
	name        string
	nodes, cold int
	// hotFraction is the fraction of the requests of the most frequent kind that one key gets
	// from hotFrom on. hotKeyReturns means that only the first cold target has this key cached.
	hotFraction   float64
	hotFrom       time.Duration
	hotKeyReturns bool
	// killed is the fraction of the nodes that are dead, cut that of the nodes that neither get
	// reports from any other node nor reach any.
	killed, cut float64
	// surge is the factor by which the usual request rate is multiplied, 0 for 1.
	surge float64
	// fresh nodes have just started, get reports from the others after discoveryTime, and
	// assume the largest fleet size until then.
	fresh bool
}

const (
	discoveryTime = time.Second
	largestFleet  = 370
)

type simKey struct {
	hash   uint64
	tokens int
	// cachedAt has the targets that cache the prompt, with the time of the first request.
	cachedAt map[int]time.Duration
	ranked   []int
}

type simNode struct {
	cut        bool
	senders    []*RateShare // of the cold targets
	reported   []int
	nextReport time.Duration
}

type sim struct {
	load
	strategy
	rng            *rand.Rand
	interval       time.Duration
	nodes          []*simNode
	live           []*simNode
	keys           [][]*simKey // by kind
	hotKey         *simKey
	arrivals       [][]time.Duration // by target
	allowedSenders []map[*simNode]bool
	result
}

// result counts what reached cold targets.
type result struct {
	requests, arrived, refused int
	// overBound counts requests that reached a target beyond the bound, overRate those beyond
	// what it can handle.
	overBound, overRate int
	// peak is the maximum number of requests that reached one target in a second.
	peak int
	// promptTokens is the number of prompt tokens that targets had to compute since they were
	// not cached.
	promptTokens int
}

func (l load) simulate(w strategy, seed uint64) result {
	s := &sim{
		load: l, strategy: w, rng: rand.New(rand.NewPCG(seed, 1)), interval: heartbeat.DefaultConfig().IntervalFor(l.nodes),
		arrivals: make([][]time.Duration, simTargets),
	}
	s.addNodes()
	s.addKeys()
	for now := time.Duration(0); now < simLimit.Duration; now += simTick {
		s.deliverReports(now)
		s.addRequests(now)
	}
	return s.result
}

func at(now time.Duration) time.Time { return time.Unix(1000, 0).Add(now) }

func (s *sim) addNodes() {
	s.allowedSenders = make([]map[*simNode]bool, s.cold)
	for i := range s.load.nodes {
		n := &simNode{cut: s.rng.Float64() < s.cut, reported: make([]int, s.cold), nextReport: s.randBelow(s.interval)}
		for range s.cold {
			phase := s.rng.Float64()
			if s.startFull {
				phase = 1
			}
			n.senders = append(n.senders, NewRateShare(phase, at(0)))
		}
		s.nodes = append(s.nodes, n)
		if i == 0 || s.rng.Float64() >= s.killed {
			s.live = append(s.live, n)
		}
	}
	for t := range s.allowedSenders {
		s.allowedSenders[t] = make(map[*simNode]bool)
		for _, i := range s.rng.Perm(len(s.nodes))[:min(s.sendersPerTarget, len(s.nodes))] {
			s.allowedSenders[t][s.nodes[i]] = true
		}
	}
}

func (s *sim) randBelow(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

func (s *sim) addKeys() {
	for _, k := range simKinds {
		var keys []*simKey
		for range k.keys {
			keys = append(keys, s.newKey(k))
		}
		s.keys = append(s.keys, keys)
	}
	s.hotKey = s.newKey(simKinds[0])
	if s.hotKeyReturns {
		s.hotKey.cachedAt = map[int]time.Duration{0: -cacheReportDelay}
	}
}

// newKey returns a key that is cached on its best-ranked target that is not cold.
func (s *sim) newKey(k simKind) *simKey {
	key := &simKey{hash: s.rng.Uint64(), tokens: k.tokens, cachedAt: make(map[int]time.Duration)}
	for t := range simTargets {
		key.ranked = append(key.ranked, t)
	}
	rank := func(t int) uint64 { return routing.Rank(key.hash, routing.Key(uint64(t))) }
	slices.SortFunc(key.ranked, func(a, b int) int { return cmp.Compare(rank(b), rank(a)) })
	if i := slices.IndexFunc(key.ranked, func(t int) bool { return t >= s.cold }); i >= 0 {
		key.cachedAt[key.ranked[i]] = -cacheReportDelay
	}
	return key
}

// arrivalsInSecond returns how many requests reached a target in the second before end.
func (s *sim) arrivalsInSecond(target int, end time.Duration) int {
	n := 0
	for _, a := range slices.Backward(s.arrivals[target]) {
		if a <= end-time.Second {
			break
		}
		if a <= end {
			n++
		}
	}
	return n
}

// deliverReports updates the nodes' counts of each other's requests.
func (s *sim) deliverReports(now time.Duration) {
	for _, n := range s.nodes {
		if n.nextReport > now {
			continue
		}
		n.nextReport += s.interval
		if n.cut || s.fresh && now < discoveryTime {
			continue
		}
		age := s.randBelow(s.interval)
		for t := range n.reported {
			n.reported[t] = int(float64(s.arrivalsInSecond(t, now-age)) * (1 - s.cut))
		}
	}
}

// addRequests adds the requests of a tick, a Poisson number of each kind.
func (s *sim) addRequests(now time.Duration) {
	for i, k := range simKinds {
		mean := k.perSecond * max(s.surge, 1) * simTick.Seconds()
		for next := s.rng.ExpFloat64(); next < mean; next += s.rng.ExpFloat64() {
			key := s.drawKey(i)
			if i == 0 && now >= s.hotFrom && s.rng.Float64() < s.hotFraction {
				key = s.hotKey
			}
			s.send(key, s.live[s.rng.IntN(len(s.live))], now)
		}
	}
}

// drawKey returns a key of a kind; the i-th is requested i^-0.3 times as often as the first.
func (s *sim) drawKey(kind int) *simKey {
	const popularity = 0.3
	keys := s.keys[kind]
	return keys[int(float64(len(keys))*math.Pow(s.rng.Float64(), 1/(1-popularity)))]
}

func (s *sim) send(key *simKey, n *simNode, now time.Duration) {
	s.requests++
	target, ok := s.pickTarget(key, n, now)
	if !ok {
		s.refused++
		return
	}
	if _, cached := key.cachedAt[target]; !cached {
		key.cachedAt[target] = now
		s.promptTokens += key.tokens
	}
	if target >= s.cold {
		return
	}
	n.senders[target].RecordSent(at(now))
	s.arrivals[target] = append(s.arrivals[target], now)
	s.arrived++
	last := s.arrivalsInSecond(target, now)
	s.peak = max(s.peak, last)
	if last > simBound {
		s.overBound++
	}
	if float64(last) > simLimit.PerSecond {
		s.overRate++
	}
}

func (s *sim) pickTarget(key *simKey, n *simNode, now time.Duration) (target int, ok bool) {
	var candidates []int
	for _, t := range key.ranked {
		if from, cached := key.cachedAt[t]; cached && now-from >= cacheReportDelay && s.allowed(n, t, now) {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) > 0 {
		return candidates[s.rng.IntN(len(candidates))], true
	}
	for _, t := range key.ranked {
		if s.allowed(n, t, now) {
			return t, true
		}
	}
	return s.spreadByRoom(n, now)
}

// spreadByRoom picks a target at random in proportion to its room, if all targets of a service
// are cold.
func (s *sim) spreadByRoom(n *simNode, now time.Duration) (target int, ok bool) {
	total := 0
	for t, sender := range n.senders {
		total += sender.Remaining(simLimit, n.reported[t], at(now))
	}
	if total == 0 {
		return 0, false
	}
	left := s.rng.IntN(total)
	for t, sender := range n.senders {
		if left -= sender.Remaining(simLimit, n.reported[t], at(now)); left < 0 {
			return t, true
		}
	}
	return 0, false
}

// allowed reports whether a node may send to a target under the simulated strategy.
func (s *sim) allowed(n *simNode, target int, now time.Duration) bool {
	if target >= s.cold || !s.shares && !s.useReports {
		return true
	}
	reported := 0
	if s.useReports {
		reported = n.reported[target]
	}
	sender := n.senders[target]
	switch {
	case s.sendersPerTarget > 0:
		return s.allowedSenders[target][n] && sender.Allow(simLimit, s.sendersPerTarget, reported, at(now))
	case s.shares:
		return sender.Allow(simLimit, s.knownNodes(now), reported, at(now))
	}
	return sender.Remaining(simLimit, reported, at(now)) > 0
}

// knownNodes returns the fleet size that a node assumes.
func (s *sim) knownNodes(now time.Duration) int {
	if s.fresh && now < discoveryTime {
		return largestFleet
	}
	return s.load.nodes
}
