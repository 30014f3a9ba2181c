package routing

import (
	"context"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
)

// sim is one run of a scenario on virtual time.
type sim struct {
	scenario
	rng     *rand.Rand
	now     float64
	queue   queue
	engines []*engine
	index   map[string]int // engine ID to its index
	nodes   []*node
	views   views
	policy  policy
	stats   stats
	nextID  uint64
	end     float64
	// surging chats live until the surge ends.
	surging bool
}

// chat is one conversation.
type chat struct {
	id        uint64
	workspace int
	surge     bool
	urgency   int
	tokens    int // of the whole history
	turns     int
	refused   bool // this turn, already
	last      int  // engine that ran it last; -1 for none
}

// request is one turn of a chat.
type request struct {
	id      string
	chat    *chat
	node    int
	engine  int
	exclude []string
	owner   *owner // that granted the place, if any
	ended   bool
}

// placement is a policy's answer.
type placement struct {
	engine     int // -1 if refused
	reason     cell.Reason
	retryAfter float64
}

// policy is a way to place requests from one entry node.
type policy interface {
	place(r *request) placement
	// placed and released follow a request that reached its engine.
	placed(r *request)
	released(r *request)
	// viewChanged tells that a node has a new view.
	viewChanged(n *node, old, new *view)
	nodeLost(n *node)
	tick()
}

const tickPeriod = 0.25

func newSim(sc scenario, seed uint64) *sim {
	s := &sim{scenario: sc.withDefaults(), rng: rand.New(rand.NewPCG(seed, 0x6b6e6170)), index: make(map[string]int)}
	s.end = s.warmup + s.length
	for range s.scenario.engines {
		s.addEngine()
	}
	for i := range s.scenario.nodes {
		s.nodes = append(s.nodes, newNode(i))
	}
	s.policy = newPolicy(s)
	s.views.init(s)
	return s
}

func (s *sim) addEngine() *engine {
	e := newEngine(len(s.engines), s.cacheTokens)
	e.since = s.now
	s.index[e.id] = len(s.engines)
	s.engines = append(s.engines, e)
	return e
}

// run runs the scenario to its end.
func (s *sim) run(ctx context.Context) error {
	for range int(s.chats()) {
		c := s.newChat(false)
		s.queue.push(s.rng.Float64()*(s.service+meanThink), func() { s.turn(c) })
	}
	s.scheduleFaults()
	s.queue.push(0, s.tick)
	for n := 0; len(s.queue.events) > 0; n++ {
		e := s.queue.pop()
		if e.at >= s.end {
			return nil
		}
		s.now = e.at
		e.do()
		if n%4096 == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

func (s *sim) tick() {
	s.policy.tick()
	if s.measuring() {
		s.stats.sample(s)
	}
	s.after(tickPeriod, s.tick)
}

func (s *sim) measuring() bool { return s.now >= s.warmup }

func (s *sim) after(delay float64, do func()) { s.queue.push(s.now+delay, do) }

func (s *sim) time() time.Time {
	return time.Unix(1_700_000_000, 0).Add(time.Duration(s.now * float64(time.Second)))
}

func (s *sim) newChat(surge bool) *chat {
	s.nextID++
	c := &chat{id: s.rng.Uint64(), surge: surge, tokens: openingTokens, last: -1}
	c.urgency = []int{1, 3, 3, 3, 3, 3, 3, 6, 6, 6}[s.rng.IntN(10)]
	c.workspace = s.drawWorkspace(surge)
	return c
}

// drawWorkspace draws by a Zipf-like law; the surging ones come first and make
// up surgeShare of the callers.
func (s *sim) drawWorkspace(surge bool) int {
	if surge || s.rng.Float64() < surgeShare {
		return s.rng.IntN(surgingWorkspaces)
	}
	return surgingWorkspaces + int(math.Pow(workspaces-surgingWorkspaces, s.rng.Float64())) - 1
}

// turn sends a chat's next message.
func (s *sim) turn(c *chat) {
	if c.surge && !s.surging {
		return
	}
	s.nextID++
	s.send(&request{id: strconv.FormatUint(s.nextID, 36), chat: c})
}

// send places a request through a random node that takes requests.
func (s *sim) send(r *request) {
	r.node = s.pickNode()
	p := s.policy.place(r)
	if p.engine < 0 {
		s.stats.refuse(s, r, p.reason)
		r.chat.refused = true
		s.after(max(p.retryAfter, 0.5), func() { s.turn(r.chat) })
		return
	}
	r.engine = p.engine
	e := s.engines[r.engine]
	s.policy.placed(r)
	if e.state == engineGone {
		s.retryElsewhere(r)
		return
	}
	s.dispatch(r, e)
}

const maxAttempts = 4

// retryElsewhere gives the place up after a failed connection.
func (s *sim) retryElsewhere(r *request) {
	s.policy.released(r)
	next := &request{id: r.id + "'", chat: r.chat, exclude: append(r.exclude, s.engines[r.engine].id)}
	if len(next.exclude) >= maxAttempts {
		s.stats.refuse(s, r, cell.ReasonNoTarget)
		s.after(1, func() { s.turn(r.chat) })
		return
	}
	s.send(next)
}

func (s *sim) dispatch(r *request, e *engine) {
	c := r.chat
	s.stats.dispatch(s, r, e)
	e.inFlight[r] = struct{}{}
	s.nodes[r.node].inFlight[r] = struct{}{}
	e.store(c.id, c.tokens+turnTokens)
	c.last = r.engine
	s.after(s.serviceTime(), func() { s.finish(r) })
}

// serviceTime is gamma-distributed with shape 2: answers vary, but few are
// very short.
func (s *sim) serviceTime() float64 {
	return (s.rng.ExpFloat64() + s.rng.ExpFloat64()) * s.service / 2
}

func (s *sim) finish(r *request) {
	if r.ended {
		return
	}
	s.drop(r)
	c := r.chat
	c.tokens += turnTokens + answerTokens
	c.turns++
	c.refused = false
	s.engines[r.engine].store(c.id, c.tokens)
	if s.rng.Float64() < 1/turnsPerChat {
		c = s.newChat(c.surge)
	}
	s.after(s.rng.ExpFloat64()*meanThink, func() { s.turn(c) })
}

// drop ends a request without an answer.
func (s *sim) drop(r *request) {
	r.ended = true
	delete(s.engines[r.engine].inFlight, r)
	delete(s.nodes[r.node].inFlight, r)
	s.policy.released(r)
}

// cut ends requests by a fault; their callers ask again.
func (s *sim) cut(requests map[*request]struct{}) {
	for _, r := range sortedRequests(requests) {
		s.drop(r)
		s.after(0.5+s.rng.Float64(), func() { s.turn(r.chat) })
	}
}
