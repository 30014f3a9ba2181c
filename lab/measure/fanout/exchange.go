package fanout

import (
	"time"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/settings/duty"
	"github.com/knapweedgw/knapweedgw/settings/follower"
)

const (
	// holdTimeout and seedTimeout have the values of the follower's timeouts.
	holdTimeout = time.Second
	seedTimeout = time.Second
	// gossipFanout is the number of random nodes to which a node announces a revision.
	gossipFanout = 4
)

// hint is a pending pull from a node that announced a higher head.
type hint struct {
	from  membership.Node
	head  int64
	tries int
}

// exchange is a strategy in which some nodes watch the store, and nodes announce a
// new head to each other and pull the records that they lack.
type exchange struct {
	s         *simulation
	w         watcher
	watches   func(*node) bool                             // whether a node has the duty to watch the store
	announces func(*node) (first, later []membership.Node) // the nodes to which a node announces a new head
}

// newRelays returns the strategy of the product's follower: the relays of each
// failure domain watch the store and announce new heads.
func newRelays(s *simulation) strategy {
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

// newGossip returns the strategy in which the two acceptors watch the store and
// every node announces a new head to gossipFanout random others.
func newGossip(s *simulation) strategy {
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
	e.w = watcher{s: s, onChange: e.onAdvance, pullFromPeer: e.pullFromPeer}
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

// pullFromPeer pulls from the other relay or a peer, then calls then.
func (e *exchange) pullFromPeer(n *node, then func()) {
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

func (e *exchange) onCommit() {
	for _, n := range e.s.fleet.nodes {
		if n.alive && n.watching {
			e.w.onCommit(n)
		}
	}
}

// onAdvance announces a node's new head and serves it once another node of the
// region has confirmed it, or after holdTimeout.
func (e *exchange) onAdvance(n *node) {
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

// announceTo announces a head to a node. It retries without an answer, up to
// follower.MaxHintAttempts attempts and while the head is still the newest.
func (e *exchange) announceTo(n *node, m membership.Node, h int64, try int) {
	e.s.call(n, m, e.s.headBytes(h), func(o *node) (int, func()) {
		e.confirm(o, n, h)
		peerHead := o.state.Head()
		if h > peerHead {
			e.hint(o, hint{from: n.member, head: h})
		}
		return e.s.headBytes(peerHead), func() { e.confirm(n, o, peerHead) }
	}, func() {
		if try < follower.MaxHintAttempts && n.state.Head() == h {
			e.announceTo(n, m, h, try+1)
		}
	})
}

// hint queues a pull and starts it if no other is in progress.
func (e *exchange) hint(n *node, h hint) {
	n.hints = append(n.hints, h)
	if len(n.hints) == 1 {
		e.processHints(n)
	}
}

// processHints pulls for the first hint, then for the next ones. It skips a hint whose
// head is confirmed already.
func (e *exchange) processHints(n *node) {
	if len(n.hints) == 0 {
		return
	}
	h := n.hints[0]
	next := func() {
		n.hints = n.hints[1:]
		e.processHints(n)
	}
	if n.confirmed >= h.head {
		next()
		return
	}
	e.pull(n, h, next)
}

// pull fetches what the other node holds beyond this node's head, repeats until
// nothing new comes, and calls done. A pull that fails is queued again if it has
// attempts left.
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
				e.onAdvance(n)
				e.pull(n, h, done)
				return
			}
			e.announceUnconfirmed(n)
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

// announceUnconfirmed announces a head that no other node of the region has confirmed
// to one node of the region.
func (e *exchange) announceUnconfirmed(n *node) {
	if n.confirmed >= n.state.Head() {
		return
	}
	if seeds := duty.Seeds(e.s.fleet.view(n), e.s.rnd); len(seeds) > 0 {
		e.announceTo(n, seeds[0], n.state.Head(), 1)
	}
}

// confirm records that another node of the region holds a revision, as the follower
// does. Unlike there, no node is the only one of its region here.
func (e *exchange) confirm(n, other *node, revision int64) {
	if n.member.Region != other.member.Region {
		return
	}
	n.confirmed = max(n.confirmed, min(revision, n.state.Head()))
	e.serve(n)
}

// serve serves a node's head if it is confirmed.
func (e *exchange) serve(n *node) {
	if n.ready && n.confirmed >= n.state.Head() {
		e.s.serve(n)
	}
}
