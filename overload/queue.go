package overload

import (
	"math"
	"time"

	"github.com/knapweedgw/knapweedgw/worktime"
)

// defaultQueuePerSlot is the queue length per slot of a gate that has not seen any request end
// yet, as after a start.
const defaultQueuePerSlot = 1

// queueDeviations is worktime.Queue.Deviations of a target: half of that of an owner's queue, since what waits
// at a target waits there also when another one has a free slot.
const queueDeviations = 2

// queuePerSlot returns how many requests may wait per slot for another one to be admitted. They wait at the
// targets, which queue a few and can't pass them on when they turn slow: so only as many as keep the slots
// busy, and no more than are served in the time that the caller has. The callers of more urgent classes must
// find a queue that their time bears, too.
func (g *Gate) queuePerSlot(r Request, kind *class, l Load) float64 {
	hold := g.meanHold()
	if hold <= 0 {
		return defaultQueuePerSlot
	}
	queue := worktime.Queue{Places: l.Slots, Work: g.WorkBound(), Deviations: queueDeviations, Lag: l.Age, Busy: worktime.NoLimit}
	wait := queue.MaxWait(r.Remaining, g.workOf(kind))
	for _, c := range g.classes {
		if c.priority < r.Priority && g.all.bucket-c.bucket < buckets && c.remaining.Known() {
			wait = min(wait, queue.MaxWait(c.remaining.Mean(), g.workOf(c)))
		}
	}
	return min(max(wait.Seconds()/hold, 0), g.cfg.MaxQueuePerSlot)
}

// workOf returns the time that few requests of a class take which found a free slot.
func (g *Gate) workOf(c *class) time.Duration {
	if c.work.Known() {
		return c.work.Bound()
	}
	return g.WorkBound()
}

// meanHold returns the mean time in seconds for which a request takes a slot, 0 if unknown.
func (g *Gate) meanHold() float64 {
	if g.serviceTime.Known() {
		return g.serviceTime.Mean().Seconds()
	}
	return g.occupancy.mean
}

// countDeviations is the number of standard deviations by which the counted load may be too high.
const countDeviations = 2

// freeBelow returns the fraction of the slots below which a slot is free in spite of the error of counts, so
// that no request is rejected: since the counts were made, a Poisson number of requests has ended.
func (g *Gate) freeBelow(l Load) float64 {
	if l.Slots <= 0 {
		return 1
	}
	ended := 1.0
	if g.occupancy.mean > 0 {
		ended = 1 - math.Exp(-l.Age.Seconds()/g.occupancy.mean)
	}
	return max(1-countDeviations*math.Sqrt(ended/float64(l.Slots)), 0)
}
