package fanout

import (
	"container/heap"
	"time"
)

// clock runs scheduled functions in the order of virtual time.
type clock struct {
	now   time.Duration
	seq   int
	queue eventQueue
}

// event is a function scheduled at a virtual time.
type event struct {
	at  time.Duration
	seq int // keeps the order of events at the same time
	do  func()
}

// after schedules do to run after d.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{c.now + d, c.seq, do})
}

// every runs do after each interval until it returns false.
func (c *clock) every(interval func() time.Duration, do func() bool) {
	c.after(interval(), func() {
		if do() {
			c.every(interval, do)
		}
	})
}

// run runs the events up to and including the time until.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}

// eventQueue is a heap of events, earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
