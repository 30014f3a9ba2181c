// Package membershiptest runs membership machines of one region against each
// other on virtual time, for tests and measurements. A seed gives the same run
// every time.
package membershiptest

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/targets"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

// frameBytes is what JSON-RPC adds to a notification of the protocol.
const frameBytes = len(`{"method":"membership.message","params":,"jsonrpc":"2.0"}`) + 2

// latency is the time a message takes.
const latency = time.Millisecond

// Node is one node of a Fleet.
type Node struct {
	*membership.Machine
	ID    string
	Heard map[string]time.Time // leaving words, by target
	// Down drops what is sent to the node and stops its clock.
	Down bool
	// Side is the part of a divided network that the node is on.
	Side int
	// Messages and Bytes are what the node has sent; Bytes only while
	// Fleet.CountBytes is set.
	Messages, Bytes int64
	// MostSent is the most messages that it sent at one event.
	MostSent int

	addr  string
	fleet *Fleet
	view  *membership.View
}

// Fleet is a set of nodes and the network between them.
type Fleet struct {
	Now time.Time
	// Loss is the share of messages lost.
	Loss float64
	// CountBytes makes nodes count the bytes they send.
	CountBytes bool
	Nodes      []*Node

	cfg    membership.Config
	byAddr map[string]*Node
	list   vmlist.List
	rng    *rand.Rand
	events events
	serial int64
}

// New returns a fleet of n nodes that know each other from the VM list.
func New(n int, cfg membership.Config, seed uint64) *Fleet {
	f := &Fleet{
		Now: time.Unix(1_000_000, 0), cfg: cfg,
		rng: rand.New(rand.NewPCG(seed, uint64(n))), byAddr: make(map[string]*Node),
	}
	for i := range n {
		node := &Node{fleet: f, ID: fmt.Sprint("node-", i), addr: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250)}
		f.Nodes = append(f.Nodes, node)
		f.byAddr[node.addr] = node
	}
	f.list = vmlist.List{Version: 1, VMs: f.VMs(n)}
	for i := range n {
		f.Boot(i, f.Now.UnixNano())
	}
	return f
}

// Boot starts node i anew with an incarnation and the VM list.
func (f *Fleet) Boot(i int, incarnation int64) {
	n := f.Nodes[i]
	self := membership.Node{
		ID: n.ID, PeerAddr: n.addr, Region: "r", FailureDomain: fmt.Sprint("fd-", i%3), Incarnation: incarnation,
	}
	seed := f.rng.Uint64()
	n.Machine = membership.NewMachine(self, f.cfg, rand.New(rand.NewPCG(seed, seed)), f.Now)
	n.Down, n.Heard = false, make(map[string]time.Time)
	n.Machine.List(f.list, f.Now)
	offset := time.Duration(f.rng.Int64N(int64(f.cfg.GossipInterval)))
	f.push(event{at: f.Now.Add(offset), node: n, machine: n.Machine})
}

// VMs returns the VM list's entries of the first n nodes.
func (f *Fleet) VMs(n int) []vmlist.VM {
	var vms []vmlist.VM
	for i, node := range f.Nodes[:n] {
		vms = append(vms, vmlist.VM{
			ID: node.ID, Role: vmlist.RoleNode, PeerAddr: node.addr, Region: "r",
			FailureDomain: fmt.Sprint("fd-", i%3), Incarnation: 1, State: vmlist.StateLive,
		})
	}
	return vms
}

// List gives the nodes, all if none are named, a VM list.
func (f *Fleet) List(vms []vmlist.VM, nodes ...int) {
	f.list = vmlist.List{Version: f.list.Version + 1, VMs: vms}
	for i, n := range f.Nodes {
		if len(nodes) == 0 || slices.Contains(nodes, i) {
			n.Machine.List(f.list, f.Now)
		}
	}
}

// Learn tells node i of a leaving target.
func (f *Fleet) Learn(i int, w targets.Word) { f.learn(f.Nodes[i], w) }

// Run lets d pass.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	f.RunUntil(d, func() bool { return false })
	f.Now = end
}

// RunUntil lets time pass until done returns true, asked after each event, and
// says whether it did so within limit.
func (f *Fleet) RunUntil(limit time.Duration, done func() bool) bool {
	end := f.Now.Add(limit)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.Now = e.at
		f.handle(e)
		if done() {
			return true
		}
	}
	return false
}

func (f *Fleet) handle(e event) {
	if e.node.Machine != e.machine { // it was booted anew
		return
	}
	if e.message == nil {
		f.push(event{at: f.Now.Add(f.cfg.GossipInterval), node: e.node, machine: e.machine})
	}
	if e.node.Down {
		return
	}
	var out []membership.Envelope
	if e.message == nil {
		out = e.node.Tick(f.Now)
	} else {
		for _, w := range e.message.Leaving {
			f.learn(e.node, w)
		}
		out = e.node.Receive(*e.message, f.Now)
	}
	f.send(e.node, out)
}

func (f *Fleet) learn(n *Node, w targets.Word) {
	if _, ok := n.Heard[w.Target]; !ok {
		n.Heard[w.Target] = f.Now
		n.Spread(w)
	}
}

// View returns the node's current view.
func (n *Node) View() *membership.View {
	if v := n.Machine.View(n.fleet.Now); v != nil {
		n.view = v
	}
	return n.view
}

func (f *Fleet) send(from *Node, out []membership.Envelope) {
	from.Messages += int64(len(out))
	from.MostSent = max(from.MostSent, len(out))
	for _, e := range out {
		if f.CountBytes {
			raw, _ := json.Marshal(e.Message)
			from.Bytes += int64(len(raw) + frameBytes)
		}
		to, ok := f.byAddr[e.To]
		if !ok || to.Side != from.Side || f.rng.Float64() < f.Loss {
			continue
		}
		msg := e.Message
		f.push(event{at: f.Now.Add(latency), node: to, machine: to.Machine, message: &msg})
	}
}

func (f *Fleet) push(e event) {
	f.serial++
	e.serial = f.serial
	heap.Push(&f.events, e)
}

// event is a tick of a node or, with a message, a delivery.
type event struct {
	at      time.Time
	serial  int64
	node    *Node
	machine *membership.Machine
	message *membership.Message
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
