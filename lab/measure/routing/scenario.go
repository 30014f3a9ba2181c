package routing

import "github.com/knapweedgw/knapweedgw/admission/cell"

// scenario is one run: a pool in one region, its callers and its faults.
// Times are in virtual seconds.
type scenario struct {
	name        string
	nodes       int
	engines     int
	way         way
	c           float64
	newFactor   float64
	lag         float64 // age of load reports (ways 1 and 2)
	quiet       float64 // longest time between two exchanges of owners (way 3)
	resync      float64 // period of each holder's resync with each owner
	cells       int
	maxInFlight int
	inFlight    float64 // mean on an engine
	service     float64 // mean time of a request
	cacheTokens int     // of one engine
	warmup      float64
	length      float64 // measured after the warm-up

	surge      float64 // factor by which the surging workspaces grow; 0 for none
	churn      bool    // engines leave, die and join
	flap       float64 // share of the engines that flap
	split      bool    // half the nodes hold another view for 10 s
	ownerLoss  bool    // a node dies each minute
	freeze     bool    // a node is frozen for 10 s
	noPauseFix bool    // owners don't watch for their own pauses
	noHandover bool    // new owners start without a memory of chats
	spread     float64 // time over which a change reaches the nodes' views
}

// way is a way to place requests.
type way string

const (
	wayRandom     way = "random"
	wayRoundRobin way = "round-robin"
	wayTwoChoices way = "two-choices"
	wayRendezvous way = "rendezvous"
	wayLocal      way = "1-local"
	wayGossip     way = "2-gossip"
	wayPerEngine  way = "3-per-engine"
	wayCells      way = "3-cells"
)

// The load of the target, by engine, from its published sizes: 18 requests in
// flight on an engine, 21 s each; a chat thinks for a minute between turns.
const (
	targetInFlight    = 18.0
	targetService     = 21.0 // 435 tokens, 47 ms each, rounded up
	meanThink         = 60.0
	turnsPerChat      = 10.0
	openingTokens     = 1500 // of a new chat
	turnTokens        = 300  // of a caller's message
	answerTokens      = 435
	workspaces        = 686 // a seventh of 4,800
	surgeShare        = 0.10
	surgingWorkspaces = 3
	surgeAfter        = 20.0 // from the end of the warm-up
	surgeLength       = 100.0
)

// chats is the number of chats that keeps the engines that busy on average.
func (s scenario) chats() float64 {
	return s.inFlight * (s.service + meanThink) / s.service * float64(s.engines)
}

// withDefaults fills what a scenario leaves out.
func (s scenario) withDefaults() scenario {
	set(&s.c, 1.25)
	set(&s.newFactor, 1.0)
	set(&s.cells, 1)
	set(&s.maxInFlight, 64)
	set(&s.inFlight, targetInFlight)
	set(&s.service, targetService)
	set(&s.cacheTokens, 1_500_000)
	set(&s.warmup, 120)
	set(&s.length, 180)
	set(&s.spread, 2)
	set(&s.resync, 10)
	set(&s.quiet, cell.DefaultMaxInterval.Seconds())
	return s
}

func set[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
