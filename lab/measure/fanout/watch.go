package fanout

import (
	"time"

	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/settings/follower"
)

const retryDelay = time.Second

// watcher keeps nodes up to date with the store by a watch.
type watcher struct {
	s        *simulation
	onChange func(*node) // called after a read or an event of the watch
	// pullFromPeer pulls from a peer, then calls then; nil if the strategy doesn't
	// pull from peers.
	pullFromPeer func(n *node, then func())
}

// begin reads the current state and watches the store until the node's duty ends.
func (w *watcher) begin(n *node, duty func(*node) bool) {
	n.watching = true
	w.catchUp(n)
	constant := func(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
	on := func() bool { return n.alive && n.watching }
	w.s.clock.every(constant(watchRenewal), func() bool {
		w.s.reads++
		return on()
	})
	w.s.clock.every(constant(follower.HeadCheckInterval), func() bool {
		if on() {
			w.catchUp(n)
		}
		return on()
	})
	w.s.clock.every(constant(follower.DutyInterval), func() bool {
		n.watching = n.watching && duty(n)
		return on()
	})
}

// catchUp reads the store's head and, if it is above the node's, the records.
func (w *watcher) catchUp(n *node) {
	retry := func() { w.s.clock.after(retryDelay, func() { w.s.alive(n, func() { w.catchUp(n) }) }) }
	w.s.read(n, func() {
		w.s.count(n, w.s.headBytes(w.s.committedState.Head()))
		w.load(n, retry)
	}, retry)
}

// load brings a node to the store's head: from a peer if the node holds a revision
// already and the strategy allows it, then with a full read if it is still behind.
func (w *watcher) load(n *node, retry func()) {
	list := func() {
		if w.s.committedState.Head() <= n.state.Head() {
			w.onChange(n)
			return
		}
		w.s.read(n, func() {
			all := accepted.Delta{Through: w.s.committedState.Head()}
			for _, r := range w.s.committedState.Records() {
				all.Records = append(all.Records, r)
			}
			w.s.count(n, w.s.storeBytes(all))
			n.state.Apply(all)
			w.onChange(n)
		}, retry)
	}
	if w.pullFromPeer == nil || n.state.Head() == 0 || w.s.committedState.Head() <= n.state.Head() {
		list()
		return
	}
	w.pullFromPeer(n, list)
}

// onCommit delivers the last committed revision to a watching node, unless the event
// is lost.
func (w *watcher) onCommit(n *node) {
	w.s.reads++
	if w.s.lost() {
		return
	}
	d := w.s.newest
	w.s.clock.after(readTime, func() {
		if !n.alive || !n.watching {
			return
		}
		w.s.count(n, w.s.storeBytes(d))
		if n.state.Apply(d).Gap {
			w.catchUp(n)
			return
		}
		w.onChange(n)
	})
}

// watchEach is the strategy in which each node watches the store.
type watchEach struct {
	s *simulation
	w watcher
}

func newWatchEach(s *simulation) strategy {
	return &watchEach{s: s, w: watcher{s: s, onChange: s.serve}}
}

func (w *watchEach) start(n *node) { w.w.begin(n, func(*node) bool { return true }) }

func (w *watchEach) onCommit() {
	for _, n := range w.s.fleet.nodes {
		if n.alive && n.watching {
			w.w.onCommit(n)
		}
	}
}
