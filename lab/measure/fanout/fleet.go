package fanout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/settings/duty"
)

const (
	// viewVariants is the number of different membership views at a time.
	viewVariants = 8
	// maxViewLag is the longest time until a view shows that a node started or ended.
	maxViewLag = 5 * time.Second
	// replacementTime is the time between the end of a VM and the start of its
	// replacement.
	replacementTime = 30 * time.Second
)

// node is one VM of the fleet.
type node struct {
	slot      int
	member    membership.Node
	variant   int
	alive     bool
	started   time.Duration
	state     accepted.State
	served    int64
	confirmed int64
	ready     bool // it may serve settings
	watching  bool // it watches the store
	announced int64
	hints     []hint // the first one is being processed
	bytes     int64  // sent and received by this VM
}

// fleet holds the nodes and the membership views. Each node has one of the view
// variants.
type fleet struct {
	clock   *clock
	rnd     *rand.Rand
	nodes   []*node // by slot
	byID    map[string]*node
	views   [viewVariants][]membership.Node
	starts  int
	onStart func(*node)
	onEnd   func(*node)
}

func newFleet(c *clock, rnd *rand.Rand, size Size) *fleet {
	f := &fleet{clock: c, rnd: rnd, byID: make(map[string]*node)}
	for slot := range size.Nodes {
		domain := slot % size.Domains
		region := domain * size.Regions / size.Domains
		n := f.newNode(slot, membership.Node{
			FailureDomain: fmt.Sprintf("domain-%02d", domain), Region: fmt.Sprintf("region-%d", region),
		})
		for variant := range f.views {
			f.views[variant] = append(f.views[variant], n.member)
		}
	}
	return f
}

// newNode puts a new VM into a slot.
func (f *fleet) newNode(slot int, place membership.Node) *node {
	f.starts++
	place.ID = fmt.Sprintf("vm-%03d-%05d", slot, f.starts)
	place.State = membership.Alive
	n := &node{
		slot: slot, member: place, variant: f.rnd.IntN(viewVariants),
		alive: true, started: f.clock.now, served: -1,
	}
	if slot == len(f.nodes) {
		f.nodes = append(f.nodes, nil)
	}
	f.nodes[slot] = n
	f.byID[place.ID] = n
	return n
}

// view returns a node's membership view, in which the node itself is always current.
func (f *fleet) view(n *node) *membership.View {
	nodes := f.views[n.variant]
	if nodes[n.slot] != n.member {
		nodes = slices.Clone(nodes)
		nodes[n.slot] = n.member
	}
	return &membership.View{Self: n.member.ID, Nodes: nodes}
}

// propagate sets a slot's new state in each view variant after a random lag, unless
// the view holds a higher incarnation by then.
func (f *fleet) propagate(slot int, m membership.Node) {
	for variant := range f.views {
		lag := time.Duration(f.rnd.Int64N(int64(maxViewLag)))
		f.clock.after(lag, func() {
			if f.views[variant][slot].Incarnation > m.Incarnation {
				return
			}
			nodes := slices.Clone(f.views[variant])
			nodes[slot] = m
			f.views[variant] = nodes
		})
	}
}

// churn replaces random VMs so that on average the given share is down.
func (f *fleet) churn(share float64) {
	mean := float64(replacementTime) / (share * float64(len(f.nodes)))
	interval := func() time.Duration { return time.Duration(f.rnd.ExpFloat64() * mean) }
	f.clock.every(interval, func() bool {
		if n := f.nodes[f.rnd.IntN(len(f.nodes))]; n.alive {
			f.replaceNode(n)
		}
		return true
	})
}

// replaceNode ends a VM and starts a new one in its slot after replacementTime.
func (f *fleet) replaceNode(n *node) {
	n.alive = false
	f.onEnd(n)
	n.state = accepted.State{}
	dead := n.member
	dead.State = membership.Dead
	dead.Incarnation++
	f.propagate(n.slot, dead)
	f.clock.after(replacementTime, func() {
		delete(f.byID, n.member.ID)
		place := dead
		place.Incarnation++
		replacement := f.newNode(n.slot, place)
		f.propagate(n.slot, replacement.member)
		f.onStart(replacement)
	})
}

func (f *fleet) isRelay(n *node) bool {
	return duty.Position(duty.Relays(f.view(n), n.member.FailureDomain), n.member.ID) >= 0
}

func (f *fleet) isAcceptor(n *node) bool {
	return duty.Position(duty.Acceptors(f.view(n)), n.member.ID) >= 0
}
