package claims

import (
	"strconv"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/routing"
	"github.com/knapweedgw/knapweedgw/store"
)

// node is a node of the fleet: it runs the state machines of the claims
// service as the service does, over the fake network and store.
type node struct {
	w           *history
	id          int
	epoch       int // counts the runs of the process
	down        bool
	frozenUntil core.Instant
	cutUntil    core.Instant // messages from and to other nodes are lost
	// blindUntil is the time until which this node's view lacks node blindTo.
	blindUntil core.Instant
	blindTo    int

	shards map[int]*stepper
	ends   *core.OutcomeQueue
	tells  int // failed calls with outcomes, to pick another owner
}

// ownerIO is what a node's shard runs in.
type ownerIO struct {
	node  *node
	shard *core.Shard
}

func (o ownerIO) time() core.Instant { return o.node.w.now }

// wake adds a timer; those of a shard that no request waits for don't keep
// the history going.
func (o ownerIO) wake(d time.Duration, f func()) {
	o.quietly(func() { o.node.w.on(o.node, d, f) })
}

func (o ownerIO) list(prefix string, done func(store.ListResult, error)) {
	o.quietly(func() { o.node.w.platform.list(o.node, prefix, done) })
}

func (o ownerIO) commit(t store.Txn, done func(int64, bool, error)) {
	w := o.node.w
	w.hit(pointCommit, o.node)
	w.platform.commit(o.node, t, func(revision int64, ok bool, err error) {
		w.hit(pointCommitted, o.node)
		done(revision, ok, err)
	})
}

func (o ownerIO) quietly(f func()) {
	_, waiting := o.shard.Len()
	o.node.w.background = waiting == 0
	f()
	o.node.w.background = false
}

func (n *node) name() string { return "node-" + strconv.Itoa(n.id) }

func (n *node) boot() {
	n.down = false
	n.shards = make(map[int]*stepper)
	n.ends = core.NewOutcomeQueue(core.DefaultOutcomeQueueConfig())
}

func (n *node) holder() core.Holder { return core.Holder{Node: n.name(), Incarnation: int64(n.epoch)} }

// alive is the node's view of a claim's holder.
func (n *node) alive(h core.Holder) bool {
	for _, m := range n.w.nodes {
		if m.name() == h.Node {
			return n.sees(m) && int64(m.epoch) == h.Incarnation
		}
	}
	return false
}

func (n *node) sees(m *node) bool {
	if n.w.now < n.blindUntil && m.id == n.blindTo {
		return false
	}
	return !m.down
}

// owner returns the node to ask for a shard after a number of failed tries.
func (n *node) owner(shard, tries int) *node {
	var seen []*node
	var hashes []uint64
	for _, m := range n.w.nodes {
		if n.sees(m) {
			seen = append(seen, m)
			hashes = append(hashes, routing.Hash(m.name()))
		}
	}
	ranks := routing.Top(nil, routing.Hash("claims/"+strconv.Itoa(shard)), hashes, len(hashes))
	return seen[ranks[tries%len(ranks)]]
}

func (n *node) shardOwner(number int) *stepper {
	o, ok := n.shards[number]
	if !ok {
		cfg := core.DefaultConfig()
		cfg.GroupSegments = smallGroup
		cfg.Retention = n.w.retention
		s := core.NewShard(number, cfg, n.alive)
		o = newStepper(ownerIO{n, s}, s)
		n.shards[number] = o
	}
	o.shard.SetPrimary(n.owner(number, 0) == n)
	return o
}

// smallGroup closes groups of transactions often.
const smallGroup = 3

// Times of a call between nodes.
const (
	netDelayMin = 200 * time.Microsecond
	netDelayMax = 2 * time.Millisecond
	endTimeout  = 3 * time.Second
	endWait     = 2 * time.Second
)

// send delivers f in the process of m; false means that m refused the
// connection.
func (n *node) send(m *node, f func()) bool {
	w := n.w
	if m.down {
		return false
	}
	if m != n && (w.now < n.cutUntil || w.now < m.cutUntil) {
		return true // lost without a trace
	}
	w.on(m, w.between(netDelayMin, netDelayMax), f)
	return true
}

// pumpEnds passes due outcomes to their owners.
func (n *node) pumpEnds() {
	for {
		shard, batch, ok := n.ends.Next(n.w.now)
		if !ok {
			break
		}
		n.tell(shard, batch)
	}
	if at := n.ends.WakeAt(); at != core.Forever {
		n.w.on(n, max(at-n.w.now, time.Millisecond), n.pumpEnds)
	}
}

func (n *node) tell(shard int, batch []core.OutcomeRecord) {
	w := n.w
	over := false
	finish := func(ok bool) {
		if over {
			return
		}
		over = true
		if !ok {
			n.tells++
		}
		n.ends.Sent(w.now, shard, ok, w.rng.Float64())
		n.pumpEnds()
	}
	w.on(n, endTimeout, func() { finish(false) })
	m := n.owner(shard, n.tells)
	sent := n.send(m, func() {
		left, all := len(batch), true
		for _, e := range batch {
			m.shardOwner(shard).end(e, endWait, func(r core.Reply) {
				left--
				all = all && r.Status == core.Recorded
				if left == 0 {
					m.send(n, func() { finish(all) })
				}
			})
		}
	})
	if !sent {
		w.on(n, netDelayMin, func() { finish(false) })
	}
}
