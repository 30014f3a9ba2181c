package retries

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/lab/measure"
	"github.com/knapweedgw/knapweedgw/retry"
)

// The load on the cells, from the published sizes of the target system.
const (
	serviceTime    = 21 * time.Second      // mean, exponential
	failTime       = 50 * time.Millisecond // from the start of a request to its failure at a failing target
	flapPeriod     = 20 * time.Second      // a flapping target fails during half of each period
	maxInFlight    = 64
	loadFactor     = 1.25
	chatsPerEngine = 60 // chats of each engine
)

// Case holds the parameters of one simulation of requests that owners of cells
// place on targets. Each pool in a region is one cell.
type Case struct {
	Nodes, Pools, Engines int     // Engines is per pool
	Failing               float64 // share of the targets that fail
	// Flapping targets fail new requests half of the time; requests that run
	// already continue.
	Flapping bool
	// CutOff is the number of nodes, counted from the first, whose requests
	// fail at every target.
	CutOff int
	// Refusing targets answer 503 immediately instead of failing.
	Refusing bool
	Suspend  bool    // owners suspend failing targets
	Share    float64 // retry budget as a share of requests
}

// cases returns each fault at three fleet sizes, without and with suspension.
func cases() []Case {
	var out []Case
	for _, size := range []Case{
		{Nodes: 8, Pools: 4, Engines: 30}, {Nodes: 53, Pools: 4, Engines: 196}, {Nodes: 370, Pools: 28, Engines: 196},
	} {
		for _, fault := range []Case{
			{CutOff: 1}, {Failing: 0.05}, {Failing: 0.05, Flapping: true}, {Failing: 0.25}, {Failing: 0.25, Refusing: true}, {Failing: 0.5}, {Failing: 0.6}, {Failing: 1},
		} {
			for _, suspend := range []bool{false, true} {
				c := size
				c.Failing, c.Flapping, c.Refusing, c.CutOff = fault.Failing, fault.Flapping, fault.Refusing, fault.CutOff
				c.Suspend, c.Share = suspend, 0.2
				out = append(out, c)
			}
		}
	}
	return out
}

// SuspensionRow is the result of a Case.
type SuspensionRow struct {
	Case
	Amplification float64 // attempts per request
	Answered      float64 // share of requests that succeeded
	FirstFailed   float64 // share of requests whose first attempt failed
	Suspensions   int
}

// Fields implements measure.Row.
func (r SuspensionRow) Fields() []measure.Field {
	return []measure.Field{
		{Name: "nodes", Value: r.Nodes}, {Name: "failing", Value: r.Failing}, {Name: "flapping", Value: r.Flapping},
		{Name: "refusing", Value: r.Refusing}, {Name: "cut_off", Value: r.CutOff}, {Name: "suspend", Value: r.Suspend}, {Name: "share", Value: r.Share},
		{Name: "amplification", Value: r.Amplification}, {Name: "answered", Value: r.Answered},
		{Name: "first_failed", Value: r.FirstFailed}, {Name: "suspensions", Value: r.Suspensions},
	}
}

// event is the next attempt of a request or, if request is set, the end of its
// current attempt.
type event struct {
	at      time.Time
	node    int
	pool    int
	number  int
	chat    uint64
	request string // ID of the attempt that ends; empty for a new attempt
	target  string
	failed  bool
	exclude []string
}

// events is a heap of events, earliest first.
type events []*event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(*event)) }
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation is the state of one run of a Case.
type simulation struct {
	Case
	rng         *rand.Rand
	start       time.Time
	queue       events
	pools       []*cell.Cell
	phases      map[string]time.Duration // flapping phase of each failing target, by target ID
	budgets     []*retry.Window
	lastRequest uint64
	row         SuspensionRow

	requests, attempts, answered, firstFailed float64
}

// SimulateCells runs repeatable requests that arrive during length. Attempts and
// their results reach the owners without delay.
func SimulateCells(c Case, length time.Duration, seed uint64) SuspensionRow {
	s := &simulation{
		Case: c, rng: rand.New(rand.NewPCG(seed, uint64(c.Nodes))), start: time.Unix(1_000_000, 0),
		phases: make(map[string]time.Duration), row: SuspensionRow{Case: c},
	}
	s.build(length)
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(*event)
		if e.request == "" {
			s.acquire(e)
		} else {
			s.finish(e)
		}
	}
	s.row.Amplification = s.attempts / s.requests
	s.row.Answered = s.answered / s.requests
	s.row.FirstFailed = s.firstFailed / s.requests
	return s.row
}

func (s *simulation) build(length time.Duration) {
	for p := range s.Pools {
		c := cell.New(cell.Config{LoadFactor: loadFactor, MaxInFlight: maxInFlight})
		var targets []cell.Target
		for i := range s.Engines {
			id := fmt.Sprintf("engine-%d-%d", p, i)
			targets = append(targets, cell.Target{ID: id, Capacity: 1})
			if s.rng.Float64() < s.Failing {
				s.phases[id] = time.Duration(s.rng.Int64N(int64(flapPeriod)))
			}
		}
		c.SetTargets(targets)
		s.pools = append(s.pools, c)
	}
	s.budgets = newWindows(s.Nodes, s.Share, s.start)
	for n := range s.Nodes {
		for at := s.start; ; {
			at = at.Add(time.Duration(s.rng.ExpFloat64() / ratePerNode * float64(time.Second)))
			if at.Sub(s.start) >= length {
				break
			}
			chat := s.rng.Uint64N(uint64(chatsPerEngine * s.Engines))
			s.queue = append(s.queue, &event{at: at, node: n, pool: s.rng.IntN(s.Pools), number: 1, chat: chat})
		}
	}
	heap.Init(&s.queue)
}

func (s *simulation) acquire(e *event) {
	if e.number == 1 {
		s.requests++
		s.budgets[e.node].Request(e.at)
	}
	s.lastRequest++
	e.request = strconv.FormatUint(s.lastRequest, 36)
	v := s.pools[e.pool].Acquire(e.at, cell.AcquireRequest{
		Request: e.request, Chat: e.chat, Exclude: e.exclude, Returning: true, Last: true,
	})
	if v.Outcome != cell.Granted {
		return // refused because no target has capacity; counts as not answered
	}
	s.attempts++
	e.target, e.failed = v.Target, e.node < s.CutOff || s.fails(v.Target, e.at)
	if e.failed {
		e.at = e.at.Add(failTime)
	} else {
		e.at = e.at.Add(time.Duration(s.rng.ExpFloat64() * float64(serviceTime)))
	}
	heap.Push(&s.queue, e)
}

func (s *simulation) fails(target string, now time.Time) bool {
	phase, failing := s.phases[target]
	return failing && (!s.Flapping || (now.Sub(s.start)+phase)%flapPeriod < flapPeriod/2)
}

func (s *simulation) finish(e *event) {
	result := cell.Answered
	switch {
	case e.failed && s.Refusing:
		result = cell.Overloaded
	case e.failed:
		result = cell.Failed
	}
	c := s.pools[e.pool]
	if s.Suspend {
		if _, ok := c.Report(e.at, cell.Holder{}, e.request, result); ok {
			s.row.Suspensions++
		}
	}
	c.Release(cell.Holder{}, e.request)
	if !e.failed {
		s.answered++
		return
	}
	if e.number == 1 {
		s.firstFailed++
	}
	s.retry(e)
}

func (s *simulation) retry(e *event) {
	failed := retry.Attempt{Number: e.number, Progress: retry.Sent, Repeatable: true, Remaining: retry.NoDeadline}
	if retry.Decide(failed, retry.Limits{MaxAttempts: maxAttempts}) != retry.Allow {
		return
	}
	if _, d := s.budgets[e.node].Take(e.at, s.Nodes); !d.Allowed {
		return
	}
	backoff := retry.Backoff{Base: baseBackoff, Max: maxBackoff}
	e.at = e.at.Add(backoff.Pause(e.number, s.rng))
	e.exclude = append(e.exclude, e.target)
	e.request = ""
	e.number++
	heap.Push(&s.queue, e)
}
