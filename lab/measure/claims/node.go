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

	shards map[int]*shardOwner
	ends   *core.Ends
	tells  int // failed calls with outcomes, to pick another owner
}

// shardOwner takes the steps of a core.Shard.
type shardOwner struct {
	node   *node
	number int
	shard  *core.Shard
	waits  map[core.Ref]func(core.Reply)
	refs   core.Ref
	busy   bool // a call to the store has no result yet
	wakes  int  // invalidates older timers
}

func (n *node) name() string { return "node-" + strconv.Itoa(n.id) }

func (n *node) boot() {
	n.down = false
	n.shards = make(map[int]*shardOwner)
	n.ends = core.NewEnds(core.DefaultEndsConfig())
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

func (n *node) shardOwner(number int) *shardOwner {
	o, ok := n.shards[number]
	if !ok {
		cfg := core.DefaultConfig()
		cfg.GroupSegments = smallGroup
		cfg.Retention = n.w.retention
		o = &shardOwner{node: n, number: number, shard: core.NewShard(number, cfg, n.alive), waits: make(map[core.Ref]func(core.Reply))}
		n.shards[number] = o
	}
	return o
}

// smallGroup closes groups of transactions often.
const smallGroup = 3

func (o *shardOwner) ask(a core.Ask, wait time.Duration, done func(core.Reply)) {
	o.refs++
	o.waits[o.refs] = done
	now := o.node.w.now
	o.shard.Ask(now, o.refs, a, now+wait)
	o.pump()
}

func (o *shardOwner) end(e core.End, wait time.Duration, done func(core.Reply)) {
	o.refs++
	o.waits[o.refs] = done
	now := o.node.w.now
	o.shard.End(now, o.refs, e, now+wait)
	o.pump()
}

// pump takes the shard's next steps until it waits for the store or time.
func (o *shardOwner) pump() {
	if o.busy {
		return
	}
	w := o.node.w
	w.background = false
	o.shard.SetDuty(o.node.owner(o.number, 0) == o.node)
	step := o.shard.Next(w.now)
	o.deliver()
	_, waiting := o.shard.Len()
	w.background = waiting == 0
	defer func() { w.background = false }()
	switch step.Kind {
	case core.StepWait:
		o.sleep(step.Until)
	case core.StepRead:
		o.busy = true
		w.platform.list(o.node, step.Prefix, func(page store.Page, err error) {
			o.busy = false
			o.shard.Loaded(w.now, page, err)
			o.pump()
		})
	case core.StepCommit:
		o.busy = true
		w.hit(pointCommit, o.node)
		w.platform.commit(o.node, step.Txn, func(revision int64, ok bool, err error) {
			o.busy = false
			w.hit(pointCommitted, o.node)
			o.shard.Committed(w.now, revision, ok, err)
			o.pump()
		})
	}
}

func (o *shardOwner) sleep(until core.Instant) {
	if until == core.Forever {
		return
	}
	w := o.node.w
	o.wakes++
	wake := o.wakes
	w.on(o.node, until-w.now, func() {
		if wake == o.wakes {
			o.pump()
		}
	})
}

func (o *shardOwner) deliver() {
	for _, a := range o.shard.Replies() {
		done := o.waits[a.Ref]
		delete(o.waits, a.Ref)
		done(a.Reply)
	}
}

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

func (n *node) tell(shard int, batch []core.End) {
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
