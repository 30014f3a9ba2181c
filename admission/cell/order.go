package cell

import "time"

// class orders the waiting requests; lower classes come first.
type class uint8

const (
	urgencies = maxUrgency + 1
	// lateClass is that of requests whose latest start has passed. They get a place only if no
	// other request can use it.
	lateClass = class(4 * urgencies)
	classes   = int(lateClass) + 1
)

// classOf returns the class by the guarantee, the urgency and the share of the workspace. It must be
// called in the order of the waiting requests: only as many of them come first or hold a place within
// the workspace's share as the guarantee and the share have left, so that positions further behind
// are predicted, too.
func (q *queue) classOf(now int64, w *waiter) class {
	if now >= w.latestNanos {
		return lateClass
	}
	u, ws := &q.flows.urgencies[w.urgency], w.workspace
	out := w.urgency
	if u.deficit <= 0 && ws.deficit <= 0 {
		out += urgencies
	} else {
		u.deficit--
		ws.deficit--
	}
	out *= 2
	w.over = ws.room < 0
	ws.room--
	if w.over {
		out++
	}
	return out
}

// classify sets the classes of the waiting requests. Within a class they are served in the order of
// queue.waiting.
func (c *Cell) classify(now time.Time) {
	q := c.queue
	c.updateStandings()
	at := now.UnixNano()
	for _, w := range q.waiting {
		w.class = q.classOf(at, w)
	}
}

// rank returns the waiting requests in the order in which they get places. The result is valid until
// the next call.
func (c *Cell) rank(now time.Time) []*waiter {
	q := c.queue
	c.classify(now)
	var next [classes + 1]int // index of the next request of each class
	for _, w := range q.waiting {
		next[w.class+1]++
	}
	for i := range classes {
		next[i+1] += next[i]
	}
	q.ranked = append(q.ranked[:0], q.waiting...)
	for _, w := range q.waiting {
		q.ranked[next[w.class]] = w
		next[w.class]++
	}
	return q.ranked
}

// updateStandings computes what urgencies and waiting workspaces lack of the guaranteed fraction of
// their fair share of the grants, and how many more places workspaces may hold.
func (c *Cell) updateStandings() {
	f := &c.queue.flows
	demand, grants := float64(max(f.demand.sum, 1)), float64(f.grants.sum)
	guaranteed := c.queue.cfg.MinShare * grants
	for i := range f.urgencies {
		u := &f.urgencies[i]
		u.deficit = guaranteed*float64(u.demand.sum)/demand - float64(u.grants.sum)
	}
	weights, active := c.shares.weights, 0.0
	for _, w := range f.workspaces {
		active += w.weight
		if w.waiting > 0 {
			held, holds := c.shares.active[w.name]
			w.held = held.inFlight
			if !holds {
				weights += w.weight
			}
		}
	}
	places := float64(c.grantable())
	for _, w := range f.workspaces {
		w.room = places*w.weight/weights - float64(w.held)
		fair := min(w.weight/active, float64(w.demand.sum)/demand)
		w.deficit = guaranteed*fair - float64(w.grants.sum)
	}
}

func clampUrgency(u int) int { return min(max(u, 0), maxUrgency) }
