package claims

import (
	"strconv"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/routing"
	"github.com/knapweedgw/knapweedgw/store"
)

// node is a node of the fleet. It runs the state machines of the claims service as
// the service does, over the simulated network and store.
type node struct {
	history     *history
	id          int
	epoch       int // number of the process's run; the holder's incarnation
	down        bool
	frozenUntil core.Instant
	cutUntil    core.Instant // messages from and to other nodes are lost
	// hiddenUntil is the time until which this node's view lacks node hiddenNode.
	hiddenUntil core.Instant
	hiddenNode  int

	shards      map[int]*stepper
	ends        *core.OutcomeQueue
	failedSends int // failed calls that sent outcomes; selects the owner to call next
}

// ownerEnv is the environment of a node's shard.
type ownerEnv struct {
	node  *node
	shard *core.Shard
}

func (o ownerEnv) time() core.Instant { return o.node.history.now }

// schedule adds a timer. Timers of a shard with no waiting request are background
// events, which don't keep the history running.
func (o ownerEnv) schedule(d time.Duration, f func()) {
	o.inBackground(func() { o.node.history.on(o.node, d, f) })
}

func (o ownerEnv) list(prefix string, done func(store.ListResult, error)) {
	o.inBackground(func() { o.node.history.store.list(o.node, prefix, done) })
}

func (o ownerEnv) commit(t store.Txn, done func(int64, bool, error)) {
	h := o.node.history
	h.reach(pointCommit, o.node)
	h.store.commit(o.node, t, func(revision int64, ok bool, err error) {
		h.reach(pointCommitted, o.node)
		done(revision, ok, err)
	})
}

// inBackground calls f; the events that f adds are background events if no request
// waits for the shard.
func (o ownerEnv) inBackground(f func()) {
	_, waiting := o.shard.Len()
	o.node.history.background = waiting == 0
	f()
	o.node.history.background = false
}

func (n *node) name() string { return "node-" + strconv.Itoa(n.id) }

func (n *node) boot() {
	n.down = false
	n.shards = make(map[int]*stepper)
	n.ends = core.NewOutcomeQueue(core.DefaultOutcomeQueueConfig())
}

func (n *node) holder() core.Holder { return core.Holder{Node: n.name(), Incarnation: int64(n.epoch)} }

// alive reports whether a claim's holder is alive in the node's view.
func (n *node) alive(h core.Holder) bool {
	for _, m := range n.history.nodes {
		if m.name() == h.Node {
			return n.sees(m) && int64(m.epoch) == h.Incarnation
		}
	}
	return false
}

func (n *node) sees(m *node) bool {
	if n.history.now < n.hiddenUntil && m.id == n.hiddenNode {
		return false
	}
	return !m.down
}

// owner returns the node to ask for a shard after a number of failed tries.
func (n *node) owner(shard, tries int) *node {
	var seen []*node
	var hashes []uint64
	for _, m := range n.history.nodes {
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
		cfg.Retention = n.history.retention
		s := core.NewShard(number, cfg, n.alive)
		o = newStepper(ownerEnv{n, s}, s)
		n.shards[number] = o
	}
	o.shard.SetPrimary(n.owner(number, 0) == n)
	return o
}

// smallGroup makes shards close groups of transactions often.
const smallGroup = 3

// Times of a call between nodes.
const (
	netDelayMin = 200 * time.Microsecond
	netDelayMax = 2 * time.Millisecond
	endTimeout  = 3 * time.Second
	endWait     = 2 * time.Second
)

// send calls f in the process of m after the network delay, unless one of the nodes
// is cut off. It returns false if m refuses the connection because it is down.
func (n *node) send(m *node, f func()) bool {
	h := n.history
	if m.down {
		return false
	}
	if m != n && (h.now < n.cutUntil || h.now < m.cutUntil) {
		return true // lost; the sender can't detect it
	}
	h.on(m, h.between(netDelayMin, netDelayMax), f)
	return true
}

// sendDueEnds sends the outcomes that are due to their owners.
func (n *node) sendDueEnds() {
	for {
		shard, batch, ok := n.ends.Next(n.history.now)
		if !ok {
			break
		}
		n.sendEnds(shard, batch)
	}
	if at := n.ends.WakeAt(); at != core.Forever {
		n.history.on(n, max(at-n.history.now, time.Millisecond), n.sendDueEnds)
	}
}

// sendEnds sends a batch of outcomes to the owner of a shard. The batch succeeds if
// the owner records all of them within endTimeout.
func (n *node) sendEnds(shard int, batch []core.OutcomeRecord) {
	h := n.history
	over := false
	finish := func(ok bool) {
		if over {
			return
		}
		over = true
		if !ok {
			n.failedSends++
		}
		n.ends.Sent(h.now, shard, ok, h.rng.Float64())
		n.sendDueEnds()
	}
	h.on(n, endTimeout, func() { finish(false) })
	m := n.owner(shard, n.failedSends)
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
		h.on(n, netDelayMin, func() { finish(false) })
	}
}
