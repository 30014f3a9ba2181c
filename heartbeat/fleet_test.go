package heartbeat

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet is nodes that exchange datagrams on virtual time. Each node runs at a target
// of its own what shows when it said so, see runningAt, so that any other node's view
// tells how old its word is, and whether it was counted twice.
type fleet struct {
	rng   *rand.Rand
	now   time.Time
	nodes []*fleetNode
	by    map[string]*fleetNode
	due   events
	// loss is the part of the datagrams that is lost, and cut says which links are.
	loss float64
	cut  func(from, to *fleetNode) bool
	// fill adds what a node runs to its report, besides its own target.
	fill func(n *fleetNode, r *Report)
	// hear takes what a node received.
	hear func(n *fleetNode, r Report)
	// messages and bytes count what each node received since the last reset.
	messages, bytes map[*fleetNode]int
}

type fleetNode struct {
	*Machine
	index  int
	domain int
	seeds  []string
	// alive nodes take part, frozen ones keep what arrives for later.
	alive, frozen bool
	queue         [][]byte
	// revision and confirmed are its copy of the store.
	revision  int64
	confirmed time.Time
	// run separates the steps of this process from those of an earlier one.
	run int
}

const (
	// tick is the unit in which a node's own target tells the time.
	tick = 10 * time.Millisecond
	// between is the time between nodes, one way.
	between = 1400 * time.Microsecond
	domains = 6
	// fleetSeeds is the number of nodes that the others know when they start.
	fleetSeeds = 3
	// startSpread is the time within which all nodes start.
	startSpread = 300 * time.Millisecond
)

// runningAt is how many requests a node runs at its own target.
func runningAt(now time.Time) int { return int(now.Sub(start) / tick) }

func nodeName(i int) string { return fmt.Sprintf("10.%d.%d.%d:7340", i%domains, i/250, i%250+1) }

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), now: start, by: make(map[string]*fleetNode),
		cut: func(_, _ *fleetNode) bool { return false }, fill: func(*fleetNode, *Report) {},
		hear:     func(*fleetNode, Report) {},
		messages: make(map[*fleetNode]int), bytes: make(map[*fleetNode]int),
	}
	for i := range n {
		node := &fleetNode{index: i, domain: i % domains}
		for s := range min(fleetSeeds, n) {
			node.seeds = append(node.seeds, nodeName(s))
		}
		f.nodes = append(f.nodes, node)
		f.by[nodeName(i)] = node
		f.boot(node)
	}
	return f
}

// boot starts a node's process.
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

// run plays until d has passed.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.due) > 0 && !f.due[0].at.After(end) {
		e := heap.Pop(&f.due).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// own is what a node says of itself.
func (f *fleet) own(n *fleetNode) Report {
	r := Report{Revision: n.revision, ConfirmedAge: -1}
	known := n.confirmed
	if other := n.view.Confirmed(n.revision); other.After(known) {
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
	f.takeQueue(n)
	out, next, err := n.Step(f.own(n), n.seeds, f.now)
	if err != nil {
		panic(err)
	}
	f.send(n, out)
	f.at(f.now.Add(next), func() { f.step(n, run) })
}

func (f *fleet) send(from *fleetNode, out []Datagram) {
	for _, d := range out {
		to := f.by[d.To]
		if to == nil || f.rng.Float64() < f.loss || f.cut(from, to) {
			continue
		}
		f.at(f.now.Add(between), func() { f.deliver(to, d.Body) })
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

func (f *fleet) takeQueue(n *fleetNode) {
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
	if a.News {
		f.hear(n, a.Report)
	}
	if a.News && a.Stranger {
		out, err := n.Brief(f.own(n), []string{a.Report.Node}, f.now)
		if err != nil {
			panic(err)
		}
		f.send(n, out)
	}
}

// packetHeader is the size of the headers of IPv4 and UDP, in bytes.
const packetHeader = 28

// age returns how old the word of node of is at node at; known is false if its
// counts are left out there. It fails the test if they were counted twice.
func (f *fleet) age(t *testing.T, at, of *fleetNode) (age time.Duration, known bool) {
	t.Helper()
	said := at.view.Target(uint64(of.index)).Running
	if said > runningAt(f.now) {
		t.Fatalf("node %d is counted twice at node %d", of.index, at.index)
	}
	return f.now.Sub(start.Add(time.Duration(said) * tick)), said > 0
}

// sample calls look for random pairs of live nodes at random times within d.
func (f *fleet) sample(d time.Duration, look func(at, of *fleetNode)) {
	const rounds, pairs = 100, 100
	for range rounds {
		f.run(d / rounds)
		for range pairs {
			at, of := f.nodes[f.rng.IntN(len(f.nodes))], f.nodes[f.rng.IntN(len(f.nodes))]
			if at != of && at.alive && of.alive && !at.frozen && !of.frozen {
				look(at, of)
			}
		}
	}
}

// all calls look for all pairs of live nodes.
func (f *fleet) all(look func(at, of *fleetNode)) {
	for _, at := range f.nodes {
		for _, of := range f.nodes {
			if at != of && at.alive && !at.frozen {
				look(at, of)
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
