package fanout

import (
	"time"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/settings/duty"
	"github.com/knapweedgw/knapweedgw/settings/follower"
)

const (
	// holdTimeout and seedTimeout are those of the follower.
	holdTimeout = time.Second
	seedTimeout = time.Second
	// gossipFanout is the number of nodes that each node tells of a revision.
	gossipFanout = 4
)

// hint says that a node may hold more.
type hint struct {
	from  membership.Node
	head  int64
	tries int
}

// exchange is the way in which some nodes watch the store, and nodes tell each
// other of a new head and pull what they lack.
type exchange struct {
	s         *simulation
	w         watcher
	watches   func(*node) bool                             // whether a node has the duty
	announces func(*node) (first, later []membership.Node) // whom a node tells of a new head
}

// newRelays returns the way of the follower.
func newRelays(s *simulation) way {
	e := newExchange(s)
	e.watches = s.fleet.isRelay
	e.announces = func(n *node) (first, later []membership.Node) {
		if !s.fleet.isRelay(n) {
			return nil, nil
		}
		return duty.AnnouncementPeers(s.fleet.view(n))
	}
	return e
}

// newGossip returns the way in which the two acceptors watch the store and
// every node tells a few random others.
func newGossip(s *simulation) way {
	e := newExchange(s)
	e.watches = s.fleet.isAcceptor
	e.announces = func(n *node) (first, later []membership.Node) {
		nodes := s.fleet.view(n).Nodes
		for range gossipFanout {
			if m := nodes[s.rnd.IntN(len(nodes))]; m.ID != n.member.ID && m.State != membership.Dead {
				first = append(first, m)
			}
		}
		return first, nil
	}
	return e
}

func newExchange(s *simulation) *exchange {
	e := &exchange{s: s}
	e.w = watcher{s: s, onChange: e.advanced, pullNear: e.pullNear}
	return e
}

func (e *exchange) start(n *node) {
	e.bootstrap(n)
	round := e.s.rnd.IntN(2)
	interval := func() time.Duration { return follower.AntiEntropyDelay(e.s.clock.now-n.started, e.s.rnd) }
	e.s.clock.every(interval, func() bool {
		round++
		if m, ok := duty.AntiEntropyPeer(e.s.fleet.view(n), round, e.s.rnd); ok && n.alive {
			e.pull(n, hint{from: m}, nil)
		}
		return n.alive
	})
	e.s.clock.every(func() time.Duration { return follower.DutyInterval }, func() bool {
		if n.alive && !n.watching && e.watches(n) {
			e.w.begin(n, e.watches)
		}
		return n.alive
	})
}

// pullNear pulls from the other relay or a peer, then goes on.
func (e *exchange) pullNear(n *node, then func()) {
	m, ok := duty.AntiEntropyPeer(e.s.fleet.view(n), 0, e.s.rnd)
	if !ok {
		then()
		return
	}
	e.pull(n, hint{from: m, tries: follower.MaxHintAttempts}, then)
}

// bootstrap asks the seeds for their heads and pulls from the highest.
func (e *exchange) bootstrap(n *node) {
	var best membership.Node
	highest := int64(-1)
	for _, m := range duty.Seeds(e.s.fleet.view(n), e.s.rnd) {
		size := e.s.headBytes(0)
		e.s.call(n, m, size, func(o *node) (int, func()) {
			h := o.state.Head()
			return size, func() {
				if h > highest {
					best, highest = m, h
				}
			}
		}, nil)
	}
	e.s.clock.after(seedTimeout, func() {
		if !n.alive {
			return
		}
		done := func() {
			if n.state.Head() < highest {
				e.bootstrap(n)
				return
			}
			n.ready = true
			e.s.read(n, func() {}, func() {})
			e.serve(n)
		}
		if highest <= n.state.Head() {
			done()
			return
		}
		e.pull(n, hint{from: best, tries: follower.MaxHintAttempts}, done)
	})
}

func (e *exchange) committed() {
	for _, n := range e.s.fleet.nodes {
		if n.alive && n.watching {
			e.w.committed(n)
		}
	}
}

// advanced announces a node's new head and serves it when it may.
func (e *exchange) advanced(n *node) {
	h := n.state.Head()
	e.serve(n)
	if h <= n.announced {
		return
	}
	n.announced = h
	e.s.clock.after(holdTimeout, func() {
		if n.alive && n.ready {
			e.s.serve(n)
		}
	})
	first, later := e.announces(n)
	for _, m := range first {
		e.announceTo(n, m, h, 1)
	}
	for _, m := range later {
		e.s.clock.after(follower.OtherPartDelay, func() {
			if n.alive {
				e.announceTo(n, m, h, 1)
			}
		})
	}
}

// announceTo tries until the node answers or a newer head makes it needless.
func (e *exchange) announceTo(n *node, m membership.Node, h int64, try int) {
	e.s.call(n, m, e.s.headBytes(h), func(o *node) (int, func()) {
		e.confirm(o, n, h)
		theirs := o.state.Head()
		if h > theirs {
			e.hint(o, hint{from: n.member, head: h})
		}
		return e.s.headBytes(theirs), func() { e.confirm(n, o, theirs) }
	}, func() {
		if try < follower.MaxHintAttempts && n.state.Head() == h {
			e.announceTo(n, m, h, try+1)
		}
	})
}

// hint queues a pull.
func (e *exchange) hint(n *node, h hint) {
	n.hints = append(n.hints, h)
	if len(n.hints) == 1 {
		e.follow(n)
	}
}

// follow works on the first hint, then on the next.
func (e *exchange) follow(n *node) {
	if len(n.hints) == 0 {
		return
	}
	h := n.hints[0]
	next := func() {
		n.hints = n.hints[1:]
		e.follow(n)
	}
	if n.confirmed >= h.head {
		next()
		return
	}
	e.pull(n, h, next)
}

// pull takes over what the other node holds beyond this node's head, then
// calls done.
func (e *exchange) pull(n *node, h hint, done func()) {
	since := n.state.Head()
	e.s.call(n, h.from, e.s.headBytes(since), func(o *node) (int, func()) {
		e.confirm(o, n, since)
		if since > o.state.Head() {
			e.hint(o, hint{from: n.member, head: since})
		}
		d := o.state.DeltaSince(since)
		return e.s.deltaBytes(d), func() {
			e.confirm(n, o, d.Through)
			n.state.Apply(d)
			if n.state.Head() > since {
				e.advanced(n)
				e.pull(n, h, done)
				return
			}
			e.seekHolder(n)
			if done != nil {
				done()
			}
		}
	}, func() {
		if h.tries++; done != nil && h.tries < follower.MaxHintAttempts {
			n.hints = append(n.hints, h)
		}
		if done != nil {
			done()
		}
	})
}

// seekHolder tells one node of the region of what came from elsewhere.
func (e *exchange) seekHolder(n *node) {
	if n.confirmed >= n.state.Head() {
		return
	}
	if seeds := duty.Seeds(e.s.fleet.view(n), e.s.rnd); len(seeds) > 0 {
		e.announceTo(n, seeds[0], n.state.Head(), 1)
	}
}

// confirm notes that another node of the region holds a revision, as the
// follower does; no node is alone in its region here.
func (e *exchange) confirm(n, other *node, revision int64) {
	if n.member.Region != other.member.Region {
		return
	}
	n.confirmed = max(n.confirmed, min(revision, n.state.Head()))
	e.serve(n)
}

func (e *exchange) serve(n *node) {
	if n.ready && n.confirmed >= n.state.Head() {
		e.s.serve(n)
	}
}
