// Package membershiptest simulates the membership machines of one region and the network
// between them on virtual time, for tests and measurements. Runs with the same seed are
// identical.
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

// frameBytes is the size of what JSON-RPC and the length prefix add to a message.
const frameBytes = len(`{"method":"membership.message","params":,"jsonrpc":"2.0"}`) + 2

// latency is the time from the sending to the delivery of a message.
const latency = time.Millisecond

// Node is one node of a Fleet.
type Node struct {
	*membership.Machine
	ID                string
	LeavingReportedAt map[string]time.Time // when it received the first leaving report, by target
	// Down drops messages to the node and skips its ticks.
	Down bool
	// Partition is the part of a partitioned network that the node is in. Messages
	// between different partitions are lost.
	Partition int
	// Messages and Bytes count what the node has sent; Bytes only while
	// Fleet.CountBytes is set.
	Messages, Bytes int64
	// MaxSentPerEvent is the maximum number of messages that it sent for one event.
	MaxSentPerEvent int

	addr  string
	fleet *Fleet
	view  *membership.View
}

// Fleet is a set of nodes and the simulated network between them.
type Fleet struct {
	Now time.Time
	// Loss is the share of messages that are lost, from 0 to 1.
	Loss float64
	// CountBytes makes nodes count the bytes that they send.
	CountBytes bool
	Nodes      []*Node

	cfg     membership.Config
	byAddr  map[string]*Node
	list    vmlist.List
	rng     *rand.Rand
	events  events
	lastSeq int64
}

// New returns a fleet of n running nodes that have the same VM list, which contains them
// all.
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

// Boot restarts node i with a new machine, an incarnation and the current VM list.
func (f *Fleet) Boot(i int, incarnation int64) {
	n := f.Nodes[i]
	self := membership.Node{
		ID: n.ID, PeerAddr: n.addr, Region: "r", FailureDomain: fmt.Sprint("fd-", i%3), Incarnation: incarnation,
	}
	seed := f.rng.Uint64()
	n.Machine = membership.NewMachine(self, f.cfg, rand.New(rand.NewPCG(seed, seed)), f.Now)
	n.Down, n.LeavingReportedAt = false, make(map[string]time.Time)
	n.Machine.ApplyList(f.list, f.Now)
	offset := time.Duration(f.rng.Int64N(int64(f.cfg.GossipInterval)))
	f.push(event{at: f.Now.Add(offset), node: n, machine: n.Machine})
}

// VMs returns VM list entries of the first n nodes.
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

// ApplyList applies a new VM list to the given nodes, or to all if none are given.
func (f *Fleet) ApplyList(vms []vmlist.VM, nodes ...int) {
	f.list = vmlist.List{Version: f.list.Version + 1, VMs: vms}
	for i, n := range f.Nodes {
		if len(nodes) == 0 || slices.Contains(nodes, i) {
			n.Machine.ApplyList(f.list, f.Now)
		}
	}
}

// ReportLeaving makes node i learn that a target is leaving.
func (f *Fleet) ReportLeaving(i int, report targets.Report) { f.learn(f.Nodes[i], report) }

// Run advances the virtual time by d.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	f.RunUntil(d, func() bool { return false })
	f.Now = end
}

// RunUntil advances the virtual time until done, which is called after each event, returns
// true. It returns whether this happened within limit.
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

// handle processes a tick or a delivery.
func (f *Fleet) handle(e event) {
	if e.node.Machine != e.machine { // the node was restarted
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
		for _, report := range e.message.Leaving {
			f.learn(e.node, report)
		}
		out = e.node.Receive(*e.message, f.Now)
	}
	f.send(e.node, out)
}

// learn records and broadcasts the first leaving report of a target at a node.
func (f *Fleet) learn(n *Node, report targets.Report) {
	if _, ok := n.LeavingReportedAt[report.Target]; !ok {
		n.LeavingReportedAt[report.Target] = f.Now
		n.BroadcastLeaving(report)
	}
}

// View returns the node's current view.
func (n *Node) View() *membership.View {
	if v := n.Machine.View(n.fleet.Now); v != nil {
		n.view = v
	}
	return n.view
}

// send counts messages of a node and schedules the delivery of those that are not lost.
func (f *Fleet) send(from *Node, out []membership.Envelope) {
	from.Messages += int64(len(out))
	from.MaxSentPerEvent = max(from.MaxSentPerEvent, len(out))
	for _, e := range out {
		if f.CountBytes {
			raw, _ := json.Marshal(e.Message)
			from.Bytes += int64(len(raw) + frameBytes)
		}
		to, ok := f.byAddr[e.To]
		if !ok || to.Partition != from.Partition || f.rng.Float64() < f.Loss {
			continue
		}
		msg := e.Message
		f.push(event{at: f.Now.Add(latency), node: to, machine: to.Machine, message: &msg})
	}
}

func (f *Fleet) push(e event) {
	f.lastSeq++
	e.seq = f.lastSeq
	heap.Push(&f.events, e)
}

// event is the delivery of a message to a node, or a tick of the node if message is nil.
type event struct {
	at      time.Time
	seq     int64 // orders events with the same time
	node    *Node
	machine *membership.Machine
	message *membership.Message
}

// events is a heap ordered by time and seq.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
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
