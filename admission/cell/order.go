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

// classOf returns the class by the guarantee, the urgency and the share of the workspace.
func (q *queue) classOf(now time.Time, w *waiter) class {
	if !now.Before(w.latest) {
		return lateClass
	}
	u := clampUrgency(w.Urgency)
	out := class(2 * u)
	if w.workspace.over {
		out++
	}
	if !w.workspace.under && !q.flows.urgencies[u].under {
		out += 2 * urgencies
	}
	return out
}

// rank returns the waiting requests in the order in which they get places. The result is valid until
// the next call.
func (c *Cell) rank(now time.Time) []*waiter {
	q := c.queue
	c.updateStandings(now)
	var next [classes + 1]int // index of the next request of each class
	for _, w := range q.waiting {
		w.class = q.classOf(now, w)
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

// updateStandings computes which urgencies and waiting workspaces got less than the guaranteed
// fraction of their fair share of the grants, and which workspaces hold more than their fair share
// of the places.
func (c *Cell) updateStandings(now time.Time) {
	f := &c.queue.flows
	demand, grants := float64(f.demand.sum), float64(f.grants.sum)
	guaranteed := c.queue.cfg.MinShare * grants
	for i := range f.urgencies {
		u := &f.urgencies[i]
		u.under = demand > 0 && float64(u.grants.sum) < guaranteed*float64(u.demand.sum)/demand
	}
	weights, active := c.shares.weights, 0.0
	for _, w := range f.workspaces {
		if _, holds := c.shares.active[w.name]; !holds && w.waiting > 0 {
			weights += c.shares.weightOf(w.name)
		}
		active += c.shares.weightOf(w.name)
	}
	places := float64(c.grantable())
	for _, w := range f.workspaces {
		if w.waiting == 0 {
			continue
		}
		weight := c.shares.weightOf(w.name)
		w.over = float64(c.shares.active[w.name].inFlight) > places*weight/weights
		fair := weight / active
		if demand > 0 {
			fair = min(fair, float64(w.demand.sum)/demand)
		}
		w.under = float64(w.grants.sum) < guaranteed*fair
	}
}

func clampUrgency(u int) int { return min(max(u, 0), maxUrgency) }
