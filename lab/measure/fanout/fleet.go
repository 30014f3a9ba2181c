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
	// viewClasses is the number of different membership views at a time.
	viewClasses = 8
	// maxViewLag is the longest time until a view shows a start or an end.
	maxViewLag = 5 * time.Second
	// replacementTime is how long a VM that is replaced stays away.
	replacementTime = 30 * time.Second
)

// node is one VM of the fleet.
type node struct {
	slot      int
	member    membership.Node
	class     int
	alive     bool
	started   time.Duration
	state     accepted.State
	served    int64
	confirmed int64
	ready     bool // it may serve
	watching  bool // it watches the store
	announced int64
	hints     []hint // the first is followed
	bytes     int64  // sent and received
}

// fleet holds the nodes and what each view class believes of them.
type fleet struct {
	clock   *clock
	rnd     *rand.Rand
	nodes   []*node // by slot
	byID    map[string]*node
	views   [viewClasses][]membership.Node
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
		for class := range f.views {
			f.views[class] = append(f.views[class], n.member)
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
		slot: slot, member: place, class: f.rnd.IntN(viewClasses),
		alive: true, started: f.clock.now, served: -1,
	}
	if slot == len(f.nodes) {
		f.nodes = append(f.nodes, nil)
	}
	f.nodes[slot] = n
	f.byID[place.ID] = n
	return n
}

// view returns what a node believes; it always knows itself.
func (f *fleet) view(n *node) *membership.View {
	nodes := f.views[n.class]
	if nodes[n.slot] != n.member {
		nodes = slices.Clone(nodes)
		nodes[n.slot] = n.member
	}
	return &membership.View{Self: n.member.ID, Nodes: nodes}
}

// show lets each view class see a slot's new state, each after its own lag.
func (f *fleet) show(slot int, m membership.Node) {
	for class := range f.views {
		lag := time.Duration(f.rnd.Int64N(int64(maxViewLag)))
		f.clock.after(lag, func() {
			if f.views[class][slot].Incarnation > m.Incarnation {
				return
			}
			nodes := slices.Clone(f.views[class])
			nodes[slot] = m
			f.views[class] = nodes
		})
	}
}

// churn replaces VMs so that the given share is away at any time.
func (f *fleet) churn(share float64) {
	mean := float64(replacementTime) / (share * float64(len(f.nodes)))
	interval := func() time.Duration { return time.Duration(f.rnd.ExpFloat64() * mean) }
	f.clock.every(interval, func() bool {
		if n := f.nodes[f.rnd.IntN(len(f.nodes))]; n.alive {
			f.replace(n)
		}
		return true
	})
}

func (f *fleet) replace(n *node) {
	n.alive = false
	f.onEnd(n)
	n.state = accepted.State{}
	gone := n.member
	gone.State = membership.Dead
	gone.Incarnation++
	f.show(n.slot, gone)
	f.clock.after(replacementTime, func() {
		delete(f.byID, n.member.ID)
		place := gone
		place.Incarnation++
		fresh := f.newNode(n.slot, place)
		f.show(n.slot, fresh.member)
		f.onStart(fresh)
	})
}

func (f *fleet) isRelay(n *node) bool {
	return duty.Position(duty.Relays(f.view(n), n.member.FailureDomain), n.member.ID) >= 0
}

func (f *fleet) isAcceptor(n *node) bool {
	return duty.Position(duty.Acceptors(f.view(n)), n.member.ID) >= 0
}
