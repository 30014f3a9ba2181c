package fanout

import (
	"container/heap"
	"time"
)

// clock runs scheduled work in the order of virtual time.
type clock struct {
	now   time.Duration
	seq   int
	queue eventQueue
}

type event struct {
	at  time.Duration
	seq int // keeps the order of events at the same time
	do  func()
}

// after schedules work.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{c.now + d, c.seq, do})
}

// every repeats work until it returns false.
func (c *clock) every(interval func() time.Duration, do func() bool) {
	c.after(interval(), func() {
		if do() {
			c.every(interval, do)
		}
	})
}

// run works until the time given.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}

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
