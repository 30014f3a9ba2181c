package heartbeat

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet simulates nodes that exchange datagrams on virtual time. Each node reports a load on a
// target of its own that encodes the time of the report (see runningAt), so that the view of
// any other node shows how old the report is, and whether it was counted twice.
type fleet struct {
	rng    *rand.Rand
	now    time.Time
	nodes  []*fleetNode
	byName map[string]*fleetNode
	due    events
	// loss is the fraction of datagrams that are lost; cut reports whether a link is down.
	loss float64
	cut  func(from, to *fleetNode) bool
	// fill completes a node's report, which contains only its own target.
	fill func(n *fleetNode, r *Report)
	// onReceive is called for each new message that a node receives.
	onReceive func(n *fleetNode, r Report)
	// messages and bytes count what each node has received since the last reset.
	messages, bytes map[*fleetNode]int
}

type fleetNode struct {
	*Machine
	index  int
	domain int
	seeds  []string
	// Nodes that are alive take part; frozen ones queue the messages that arrive.
	alive, frozen bool
	queue         [][]byte
	// revision and confirmed describe the node's copy of the store.
	revision  int64
	confirmed time.Time
	// run distinguishes the steps of this process from those of an earlier one.
	run int
}

const (
	// tick is the time unit of the load on a node's own target.
	tick = 10 * time.Millisecond
	// oneWayDelay is the network delay between two nodes.
	oneWayDelay = 1400 * time.Microsecond
	domains     = 6
	// fleetSeeds is the number of nodes that all nodes use as seeds.
	fleetSeeds = 3
	// startSpread is the time within which all nodes start.
	startSpread = 300 * time.Millisecond
)

// runningAt returns the number of requests that a node reports for its own target.
func runningAt(now time.Time) int { return int(now.Sub(start) / tick) }

func nodeName(i int) string { return fmt.Sprintf("10.%d.%d.%d:7340", i%domains, i/250, i%250+1) }

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), now: start, byName: make(map[string]*fleetNode),
		cut: func(_, _ *fleetNode) bool { return false }, fill: func(*fleetNode, *Report) {},
		onReceive: func(*fleetNode, Report) {},
		messages:  make(map[*fleetNode]int), bytes: make(map[*fleetNode]int),
	}
	for i := range n {
		node := &fleetNode{index: i, domain: i % domains}
		for s := range min(fleetSeeds, n) {
			node.seeds = append(node.seeds, nodeName(s))
		}
		f.nodes = append(f.nodes, node)
		f.byName[nodeName(i)] = node
		f.boot(node)
	}
	return f
}

// boot starts a new process of a node.
func (f *fleet) boot(n *fleetNode) {
	n.run++
	n.Machine = NewMachine(DefaultConfig(), nodeName(n.index), int64(n.run), rand.New(rand.NewPCG(f.rng.Uint64(), 1)))
	n.alive, n.frozen, n.queue = true, false, nil
	run := n.run
	f.at(f.now.Add(time.Duration(f.rng.Int64N(int64(startSpread)))), func() { f.step(n, run) })
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func (f *fleet) at(t time.Time, do func()) { heap.Push(&f.due, event{t, do}) }

// run simulates the fleet for d.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.due) > 0 && !f.due[0].at.After(end) {
		e := heap.Pop(&f.due).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// own returns a node's report about itself.
func (f *fleet) own(n *fleetNode) Report {
	r := Report{Revision: n.revision, ConfirmedAge: -1}
	known := n.confirmed
	if other := n.view.ConfirmedAt(n.revision); other.After(known) {
		known = other
	}
	if !known.IsZero() {
		r.ConfirmedAge = f.now.Sub(known).Milliseconds()
	}
	r.Targets = []TargetReport{{Target: uint32(n.index), Running: uint16(runningAt(f.now))}}
	f.fill(n, &r)
	return r
}

func (f *fleet) step(n *fleetNode, run int) {
	if !n.alive || n.run != run {
		return
	}
	if n.frozen {
		f.at(f.now.Add(tick), func() { f.step(n, run) })
		return
	}
	f.drainQueue(n)
	out, next, err := n.Step(f.own(n), n.seeds, f.now)
	if err != nil {
		panic(err)
	}
	f.send(n, out)
	f.at(f.now.Add(next), func() { f.step(n, run) })
}

func (f *fleet) send(from *fleetNode, out []Datagram) {
	for _, d := range out {
		to := f.byName[d.To]
		if to == nil || f.rng.Float64() < f.loss || f.cut(from, to) {
			continue
		}
		f.at(f.now.Add(oneWayDelay), func() { f.deliver(to, d.Body) })
	}
}

func (f *fleet) deliver(to *fleetNode, body []byte) {
	switch {
	case !to.alive:
	case to.frozen:
		to.queue = append(to.queue, body)
	default:
		f.receive(to, body)
	}
}

func (f *fleet) drainQueue(n *fleetNode) {
	queue := n.queue
	n.queue = nil
	for _, body := range queue {
		f.receive(n, body)
	}
}

func (f *fleet) receive(n *fleetNode, body []byte) {
	f.messages[n]++
	f.bytes[n] += len(body) + packetHeader
	a, err := n.Receive(body, f.now)
	if err != nil {
		panic(err)
	}
	if a.IsNew {
		f.onReceive(n, a.Report)
	}
	if a.IsNew && a.NewPeer {
		out, err := n.Brief(f.own(n), []string{a.Report.Node}, f.now)
		if err != nil {
			panic(err)
		}
		f.send(n, out)
	}
}

// packetHeader is the size of the IPv4 and UDP headers in bytes.
const packetHeader = 28

// age returns the age of the counts of node of at node at; known is false if there are none. It
// fails the test if they are counted twice.
func (f *fleet) age(t *testing.T, at, of *fleetNode) (age time.Duration, known bool) {
	t.Helper()
	reported := at.view.Target(uint64(of.index)).Running
	if reported > runningAt(f.now) {
		t.Fatalf("node %d is counted twice at node %d", of.index, at.index)
	}
	return f.now.Sub(start.Add(time.Duration(reported) * tick)), reported > 0
}

// sample calls visit for random pairs of live nodes at random times within d.
func (f *fleet) sample(d time.Duration, visit func(at, of *fleetNode)) {
	const rounds, pairs = 100, 100
	for range rounds {
		f.run(d / rounds)
		for range pairs {
			at, of := f.nodes[f.rng.IntN(len(f.nodes))], f.nodes[f.rng.IntN(len(f.nodes))]
			if at != of && at.alive && of.alive && !at.frozen && !of.frozen {
				visit(at, of)
			}
		}
	}
}

// all calls visit for all pairs whose first node is alive and not frozen.
func (f *fleet) all(visit func(at, of *fleetNode)) {
	for _, at := range f.nodes {
		for _, of := range f.nodes {
			if at != of && at.alive && !at.frozen {
				visit(at, of)
			}
		}
	}
}

func (f *fleet) reset() {
	clear(f.messages)
	clear(f.bytes)
}

func quantile(all []time.Duration, q float64) time.Duration {
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}
