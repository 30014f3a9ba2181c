package heartbeat

import "time"

// fleetMemory is how long a node divides a fleet-wide limit among the largest fleet that it has known: regions
// may lose each other for an hour, and nodes that are out of reach still use their parts.
const fleetMemory = 2 * time.Hour

// fleetShares derives among how many nodes a fleet-wide limit is divided, of which each node uses an equal part
// without asking the others.
type fleetShares struct {
	// current and previous are the largest numbers of nodes known in this period of fleetMemory, which began at
	// began, and in the one before it.
	current, previous int
	began             time.Time
	// heardAny is set once any other node was heard.
	heardAny bool
	// shares is the result, 0 for none.
	shares int
}

// update takes the numbers of other nodes that are known, that were heard within Config.AddressTTL and that are
// live; nodes that leave count as known only. A node gets no part if it hears no majority of the nodes that it
// heard lately, or has heard none since it started: it may be cut off, and nodes may have joined meanwhile.
func (s *fleetShares) update(known, recent, live int, now time.Time) {
	const self = 1
	if now.Sub(s.began) >= fleetMemory {
		s.current, s.previous, s.began = 0, s.current, now
	}
	s.current = max(s.current, known+self)
	s.shares = 0
	if (s.heardAny || known == 0) && 2*(live+self) > recent+self {
		s.shares = max(s.current, s.previous)
	}
}

// LimitShares returns among how many nodes, this one included, a fleet-wide limit is divided of which each node
// uses an equal part without asking the others: the largest number known within the last hours. It is 0 if this
// node seems to be cut off from the fleet and is to use none. It is at most an interval and a step old.
func (e *Exchange) LimitShares() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shares.shares
}

// updateShares updates the divisor of fleet-wide limits. The caller must hold the lock.
func (e *Exchange) updateShares(now time.Time) {
	v := e.machine.view
	recent, live := 0, 0
	lost := e.cfg.lostTimeout(v.interval())
	for _, p := range v.peers {
		if !p.live(e.cfg.AddressTTL, now) {
			continue
		}
		e.shares.heardAny = true
		if p.report.Leaving {
			continue
		}
		recent++
		if p.live(lost, now) {
			live++
		}
	}
	e.shares.update(len(v.peers), recent, live, now)
}
