package fanout

import (
	"time"

	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/settings/follower"
)

const retryDelay = time.Second

// watcher follows the store on behalf of nodes.
type watcher struct {
	s        *simulation
	onChange func(*node) // the node's head rose
	// pullNear pulls from a peer, then goes on; nil where peers aren't asked.
	pullNear func(n *node, then func())
}

// begin catches up and watches until the node's duty ends.
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

// catchUp reads the head and, if it is above the node's, the records.
func (w *watcher) catchUp(n *node) {
	again := func() { w.s.clock.after(retryDelay, func() { w.s.alive(n, func() { w.catchUp(n) }) }) }
	w.s.read(n, func() {
		w.s.count(n, w.s.headBytes(w.s.truth.Head()))
		w.fill(n, again)
	}, again)
}

// fill brings a node to the head of the store.
func (w *watcher) fill(n *node, again func()) {
	list := func() {
		if w.s.truth.Head() <= n.state.Head() {
			w.onChange(n)
			return
		}
		w.s.read(n, func() {
			all := accepted.Delta{Through: w.s.truth.Head()}
			for _, r := range w.s.truth.Records() {
				all.Records = append(all.Records, r)
			}
			w.s.count(n, w.s.storeBytes(all))
			n.state.Apply(all)
			w.onChange(n)
		}, again)
	}
	if w.pullNear == nil || n.state.Head() == 0 || w.s.truth.Head() <= n.state.Head() {
		list()
		return
	}
	w.pullNear(n, list)
}

// committed sends the last acceptance to a watching node.
func (w *watcher) committed(n *node) {
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

// watchEach is the way in which each node watches the store.
type watchEach struct {
	s *simulation
	w watcher
}

func newWatchEach(s *simulation) way {
	return &watchEach{s: s, w: watcher{s: s, onChange: s.serve}}
}

func (w *watchEach) start(n *node) { w.w.begin(n, func(*node) bool { return true }) }

func (w *watchEach) committed() {
	for _, n := range w.s.fleet.nodes {
		if n.alive && n.watching {
			w.w.committed(n)
		}
	}
}
