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

// The model: nodes in front of 60 engines of a service of chats, of which the first few
// have just started, on virtual time. A request has a key, which goes to the engines that
// keep its prompt, else to the best-ranked one. What nodes sent comes to the others by
// reports that are as old as the exchange of news lets them get.

// Rates, keys and prompt tokens are by the description of such a service.
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
	// simBound is how many requests may reach a cold target in any second: it bears
	// 18 a second, and half as many again and 5 don't end it yet.
	simBound = 32
	// keepersKnown is when the nodes know that a target keeps a prompt.
	keepersKnown = 500 * time.Millisecond
)

var simLimit = Limit{PerSecond: 18, For: 3 * time.Second}

// way is how nodes send to cold targets.
type way struct {
	name string
	// shares: each has the share of a Sender, which begins at a phase of its own, or
	// full.
	shares, full bool
	// chosen is the number of nodes that send to a cold target at all, 0 for all.
	chosen int
	// told: none sends to a target that got PerSecond by the reports.
	told bool
}

var (
	asBefore    = way{name: "load bound only"}
	equalShares = way{name: "equal shares, all at once", shares: true, full: true}
	fewNodes    = way{name: "12 nodes a target, by rank", shares: true, full: true, chosen: 12}
	steered     = way{name: "steered by reports", told: true}
	ofPackage   = way{name: "shares by turns, and reports", shares: true, told: true}
)

// load is what comes to the cold targets.
type load struct {
	name        string
	nodes, cold int
	// hot is the part of the commonest kind's requests that one key gets from hotFrom
	// on; comesBack says that only the first cold target keeps it.
	hot       float64
	hotFrom   time.Duration
	comesBack bool
	// killed is the part of the nodes that are dead, cut that of those who hear no other
	// and are heard by none.
	killed, cut float64
	// surge is how many times the usual requests come, 0 for once.
	surge float64
	// fresh nodes have just begun, hear the others after acquainted, and take the fleet
	// for the largest one until then.
	fresh bool
}

const (
	acquainted   = time.Second
	largestFleet = 370
)

type simKey struct {
	hash   uint64
	tokens int
	// keepers are the targets that keep the prompt, with the time of the first request.
	keepers map[int]time.Duration
	ranked  []int
}

type simNode struct {
	cut      bool
	senders  []*Sender // of the cold targets
	told     []int
	nextNews time.Duration
}

type sim struct {
	load
	way
	rng      *rand.Rand
	interval time.Duration
	nodes    []*simNode
	live     []*simNode
	keys     [][]*simKey // by kind
	hotKey   *simKey
	arrivals [][]time.Duration // by target
	chosenBy []map[*simNode]bool
	result
}

// result counts what reached cold targets.
type result struct {
	asked, arrived, refused int
	// over reached a target beyond the bound, overRate beyond what it bears.
	over, overRate int
	// most reached one target in a second.
	most int
	// read are the tokens of prompts that targets had to read.
	read int
}

func (l load) play(w way, seed uint64) result {
	s := &sim{
		load: l, way: w, rng: rand.New(rand.NewPCG(seed, 1)), interval: heartbeat.DefaultConfig().IntervalFor(l.nodes),
		arrivals: make([][]time.Duration, simTargets),
	}
	s.addNodes()
	s.addKeys()
	for now := time.Duration(0); now < simLimit.For; now += simTick {
		s.news(now)
		s.arrive(now)
	}
	return s.result
}

func at(now time.Duration) time.Time { return time.Unix(1000, 0).Add(now) }

func (s *sim) addNodes() {
	s.chosenBy = make([]map[*simNode]bool, s.cold)
	for i := range s.load.nodes {
		n := &simNode{cut: s.rng.Float64() < s.cut, told: make([]int, s.cold), nextNews: s.upTo(s.interval)}
		for range s.cold {
			phase := s.rng.Float64()
			if s.full {
				phase = 1
			}
			n.senders = append(n.senders, NewSender(phase, at(0)))
		}
		s.nodes = append(s.nodes, n)
		if i == 0 || s.rng.Float64() >= s.killed {
			s.live = append(s.live, n)
		}
	}
	for t := range s.chosenBy {
		s.chosenBy[t] = make(map[*simNode]bool)
		for _, i := range s.rng.Perm(len(s.nodes))[:min(s.chosen, len(s.nodes))] {
			s.chosenBy[t][s.nodes[i]] = true
		}
	}
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

func (s *sim) addKeys() {
	for _, k := range simKinds {
		var keys []*simKey
		for range k.keys {
			keys = append(keys, s.newKey(k))
		}
		s.keys = append(s.keys, keys)
	}
	s.hotKey = s.newKey(simKinds[0])
	if s.comesBack {
		s.hotKey.keepers = map[int]time.Duration{0: -keepersKnown}
	}
}

// newKey returns a key that its best-ranked target keeps, if that isn't cold, else the
// next one that isn't.
func (s *sim) newKey(k simKind) *simKey {
	key := &simKey{hash: s.rng.Uint64(), tokens: k.tokens, keepers: make(map[int]time.Duration)}
	for t := range simTargets {
		key.ranked = append(key.ranked, t)
	}
	rank := func(t int) uint64 { return routing.Rank(key.hash, routing.Key(uint64(t))) }
	slices.SortFunc(key.ranked, func(a, b int) int { return cmp.Compare(rank(b), rank(a)) })
	if i := slices.IndexFunc(key.ranked, func(t int) bool { return t >= s.cold }); i >= 0 {
		key.keepers[key.ranked[i]] = -keepersKnown
	}
	return key
}

// inSecond returns how many requests reached a target in the second before end.
func (s *sim) inSecond(target int, end time.Duration) int {
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

// news has the nodes hear what the others sent.
func (s *sim) news(now time.Duration) {
	for _, n := range s.nodes {
		if n.nextNews > now {
			continue
		}
		n.nextNews += s.interval
		if n.cut || s.fresh && now < acquainted {
			continue
		}
		age := s.upTo(s.interval)
		for t := range n.told {
			n.told[t] = int(float64(s.inSecond(t, now-age)) * (1 - s.cut))
		}
	}
}

// arrive has the requests of a tick come: a Poisson number of each kind.
func (s *sim) arrive(now time.Duration) {
	for i, k := range simKinds {
		mean := k.perSecond * max(s.surge, 1) * simTick.Seconds()
		for next := s.rng.ExpFloat64(); next < mean; next += s.rng.ExpFloat64() {
			key := s.draw(i)
			if i == 0 && now >= s.hotFrom && s.rng.Float64() < s.hot {
				key = s.hotKey
			}
			s.send(key, s.live[s.rng.IntN(len(s.live))], now)
		}
	}
}

// draw returns a key of a kind; the i-th is asked for i^-0.3 times as often as the first.
func (s *sim) draw(kind int) *simKey {
	const popularity = 0.3
	keys := s.keys[kind]
	return keys[int(float64(len(keys))*math.Pow(s.rng.Float64(), 1/(1-popularity)))]
}

func (s *sim) send(key *simKey, n *simNode, now time.Duration) {
	s.asked++
	target, ok := s.pick(key, n, now)
	if !ok {
		s.refused++
		return
	}
	if _, keeps := key.keepers[target]; !keeps {
		key.keepers[target] = now
		s.read += key.tokens
	}
	if target >= s.cold {
		return
	}
	n.senders[target].Send(at(now))
	s.arrivals[target] = append(s.arrivals[target], now)
	s.arrived++
	last := s.inSecond(target, now)
	s.most = max(s.most, last)
	if last > simBound {
		s.over++
	}
	if float64(last) > simLimit.PerSecond {
		s.overRate++
	}
}

func (s *sim) pick(key *simKey, n *simNode, now time.Duration) (target int, ok bool) {
	var keepers []int
	for _, t := range key.ranked {
		if from, keeps := key.keepers[t]; keeps && now-from >= keepersKnown && s.may(n, t, now) {
			keepers = append(keepers, t)
		}
	}
	if len(keepers) > 0 {
		return keepers[s.rng.IntN(len(keepers))], true
	}
	for _, t := range key.ranked {
		if s.may(n, t, now) {
			return t, true
		}
	}
	return s.spread(n, now)
}

// spread is for a service whose targets are all cold.
func (s *sim) spread(n *simNode, now time.Duration) (target int, ok bool) {
	total := 0
	for t, sender := range n.senders {
		total += sender.Room(simLimit, n.told[t], at(now))
	}
	if total == 0 {
		return 0, false
	}
	left := s.rng.IntN(total)
	for t, sender := range n.senders {
		if left -= sender.Room(simLimit, n.told[t], at(now)); left < 0 {
			return t, true
		}
	}
	return 0, false
}

// may says whether a node may send to a target by the way of the model.
func (s *sim) may(n *simNode, target int, now time.Duration) bool {
	if target >= s.cold || !s.shares && !s.told {
		return true
	}
	told := 0
	if s.told {
		told = n.told[target]
	}
	sender := n.senders[target]
	switch {
	case s.chosen > 0:
		return s.chosenBy[target][n] && sender.May(simLimit, s.chosen, told, at(now))
	case s.shares:
		return sender.May(simLimit, s.known(now), told, at(now))
	}
	return sender.Room(simLimit, told, at(now)) > 0
}

// known is the number of nodes that a node takes the fleet for.
func (s *sim) known(now time.Duration) int {
	if s.fresh && now < acquainted {
		return largestFleet
	}
	return s.load.nodes
}
