// Package claims measures the claims service with generated fault histories of its
// real state machines, and compares the costs of ways to record claims. Each run uses
// virtual time and one goroutine, and its result depends only on the seed.
package claims

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
)

// event is a function to call at a virtual time. If node is set, it is called only
// while the process of that node is still in the run numbered epoch.
type event struct {
	at    core.Instant
	seq   int
	node  *node
	epoch int
	f     func()
	// background events don't keep the clock running.
	background bool
}

// eventQueue is a heap of events, earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// clock runs events in the order of their times.
type clock struct {
	now    core.Instant
	rng    *rand.Rand
	events eventQueue
	seq    int
	live   int // events that are not in the background
	// background is the value of that field in events that are added.
	background bool
}

func newClock(seed, stream uint64) *clock {
	return &clock{rng: rand.New(rand.NewPCG(seed, stream))}
}

// after calls f after d.
func (c *clock) after(d time.Duration, f func()) { c.push(event{at: c.now + d, f: f}) }

// on calls f after d in the node's process. It doesn't call f if the process is killed
// before, and calls it late if the process is frozen.
func (c *clock) on(n *node, d time.Duration, f func()) {
	c.push(event{at: c.now + d, node: n, epoch: n.epoch, f: f})
}

func (c *clock) push(e event) {
	c.seq++
	e.seq = c.seq
	e.background = c.background
	if !e.background {
		c.live++
	}
	heap.Push(&c.events, e)
}

// run calls events until only background events are left or the next one is after
// until.
func (c *clock) run(until core.Instant) {
	for c.live > 0 {
		e := heap.Pop(&c.events).(event)
		if e.at > until {
			return
		}
		c.now = e.at
		if e.node != nil && e.epoch == e.node.epoch && e.node.frozenUntil > c.now {
			e.at = e.node.frozenUntil
			heap.Push(&c.events, e) // with the same seq
			continue
		}
		if !e.background {
			c.live--
		}
		if e.node == nil || e.epoch == e.node.epoch {
			e.f()
		}
	}
}

// between returns a random duration in [lo, hi).
func (c *clock) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(c.rng.Int64N(int64(hi-lo)))
}

func (c *clock) chance(p float64) bool { return c.rng.Float64() < p }
