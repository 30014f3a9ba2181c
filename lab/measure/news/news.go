// Package news measures, on virtual time, strategies by which nodes exchange their
// counts of running requests: how old the counts known of another node are, and how
// many messages and bytes a node receives.
package news

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/knapweedgw/knapweedgw/lab/measure"
)

// The model's times, in ticks of 10 ms.
const (
	second   = 100
	interval = second / 5 // between two messages to the same node in a small fleet
	settle   = 12 * second
	measured = 10 * second
)

// The model's message sizes, in bytes, and traffic.
const (
	headerBytes    = 28 + 60 // of a packet (28) and of a report (60)
	bytesPerTarget = 5       // of a target in a sum of several nodes' counts
	bytesPerNode   = 30      // of a node's own counts with its name and version
	targets        = 192
	running        = 4 // targets that a node uses at a time
	loss           = 0.01
)

var sizes = []int{7, 66, 295, 370}

// Section is the measurement "news".
type Section struct{}

// Name implements measure.Section.
func (Section) Name() string { return "news" }

// Run implements measure.Section.
func (s Section) Run(ctx context.Context, r *measure.Reporter, seed uint64) (string, error) {
	var last row
	for _, n := range sizes {
		for _, st := range strategies {
			if err := ctx.Err(); err != nil {
				return "", err
			}
			last = run(st, n, seed)
			if err := r.Add(s.Name(), last); err != nil {
				return "", err
			}
		}
	}
	return fmt.Sprintf("news: plan=%s nodes=%d age_p50_s=%.2f", last.strategy, last.nodes, last.median), nil
}

// row is the result of one strategy at one fleet size. Ages are in seconds; the busiest
// node is the one that receives the most messages.
type row struct {
	strategy                        string
	nodes                           int
	median, p99, worst              float64
	messages, bytes                 float64 // received per second by the average node
	messagesBusiest, messagesMedian float64 // received per second by the busiest and the median node
}

// Fields implements measure.Row.
func (r row) Fields() []measure.Field {
	return []measure.Field{
		{Name: "plan", Value: r.strategy}, {Name: "nodes", Value: r.nodes},
		{Name: "age_p50_s", Value: r.median}, {Name: "age_p99_s", Value: r.p99}, {Name: "age_worst_s", Value: r.worst},
		{Name: "messages_node_s", Value: r.messages}, {Name: "messages_median_s", Value: r.messagesMedian},
		{Name: "messages_busiest_s", Value: r.messagesBusiest}, {Name: "bytes_node_s", Value: r.bytes},
	}
}

// strategy is a way to exchange counts.
type strategy struct {
	name string
	// send sends the messages of a node that are due at the current tick.
	send func(f *fleet, node int)
}

var strategies = []strategy{
	{"mesh, 60 a second", (*fleet).mesh},
	{"mesh of changes, 60 a second", (*fleet).changes},
	{"two adders a domain", (*fleet).aggregators},
	{"epidemic of changes", (*fleet).epidemic},
	{"groups", (*fleet).groups},
}

// fleet models nodes and the age of the counts that they have of each other.
type fleet struct {
	rng *rand.Rand
	n   int
	now int
	// newest is, by receiver and origin, the tick of the newest counts received.
	newest [][]int
	// phase is each node's random offset within its send interval.
	phase           []int
	messages, bytes []int
}

func run(s strategy, n int, seed uint64) row {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, uint64(n))), n: n}
	for range n {
		f.newest = append(f.newest, make([]int, n))
		f.phase = append(f.phase, f.rng.IntN(1<<30))
	}
	var ages []float64
	for f.now = 1; f.now < settle+measured; f.now++ {
		if f.now == settle {
			f.messages, f.bytes = make([]int, n), make([]int, n)
		}
		for node := range n {
			f.newest[node][node] = f.now
			s.send(f, node)
		}
		if f.now > settle && f.now%10 == 0 {
			ages = f.sample(ages)
		}
	}
	return f.row(s.name, ages)
}

func (f *fleet) sample(ages []float64) []float64 {
	const pairs = 200
	for range pairs {
		node, of := f.rng.IntN(f.n), f.rng.IntN(f.n)
		if node != of {
			ages = append(ages, float64(f.now-f.newest[node][of])/second)
		}
	}
	return ages
}

func (f *fleet) row(name string, ages []float64) row {
	slices.Sort(ages)
	slices.Sort(f.messages)
	bytes, messages := 0, 0
	for i := range f.n {
		bytes, messages = bytes+f.bytes[i], messages+f.messages[i]
	}
	const seconds = measured / second
	return row{
		strategy: name, nodes: f.n, median: ages[len(ages)/2], p99: ages[len(ages)*99/100], worst: ages[len(ages)-1],
		messages: float64(messages) / seconds / float64(f.n), bytes: float64(bytes) / seconds / float64(f.n),
		messagesBusiest: float64(f.messages[f.n-1]) / seconds, messagesMedian: float64(f.messages[f.n/2]) / seconds,
	}
}

// send delivers to a node the counts of origins that another node holds, unless the
// message is lost, and counts the message at the receiver.
func (f *fleet) send(from, to, size int, origins ...int) {
	if from == to {
		return
	}
	if f.messages != nil {
		f.messages[to]++
		f.bytes[to] += headerBytes + size
	}
	if f.rng.Float64() < loss {
		return
	}
	for _, o := range origins {
		f.newest[to][o] = max(f.newest[to][o], f.newest[from][o])
	}
}

// isDue reports whether a node sends the k-th of its messages of an interval at this tick.
func (f *fleet) isDue(node, k, every int) bool { return (f.now+f.phase[node]+k)%every == 0 }

// sumSize returns the size in bytes of the sum of the counts of so many nodes.
func sumSize(nodes int) int {
	used := targets * (1 - math.Pow(1-1.0/targets, float64(running*nodes)))
	return int(bytesPerTarget * used)
}

// mesh makes each node report to every other node, at an interval that keeps inbound
// reports at 60 a second at most.
func (f *fleet) mesh(node int) { f.meshOf(node, bytesPerNode) }

// changes is mesh with reports that contain only changes. In a small fleet three quarters
// of the requests in progress are the same as an interval ago, in a large one none.
func (f *fleet) changes(node int) {
	size := bytesPerNode
	if f.n*second/60 <= interval {
		size = bytesPerNode / 2
	}
	f.meshOf(node, size)
}

func (f *fleet) meshOf(node, size int) {
	every := max(interval, f.n*second/60)
	for to := range f.n {
		if f.isDue(node, to*every/f.n, every) {
			f.send(node, to, size, node)
		}
	}
}

// The fleet has 6 failure domains with 2 aggregators in each.
const (
	domains              = 6
	aggregatorsPerDomain = 2
)

// aggregators makes each node report to the aggregators of its failure domain. These send
// the sums of their domains to each other and the sums of all domains to their nodes.
func (f *fleet) aggregators(node int) {
	if !f.isDue(node, 0, interval) {
		return
	}
	own := f.members(node%domains, domains)
	isAggregator := node < domains*aggregatorsPerDomain
	all := sumSize(f.n)
	for to := range f.n {
		switch {
		case to%domains == node%domains && to < domains*aggregatorsPerDomain:
			f.send(node, to, bytesPerNode, node)
		case isAggregator && to < domains*aggregatorsPerDomain:
			f.send(node, to, sumSize(len(own)), own...)
		case isAggregator && to%domains == node%domains:
			f.send(node, to, all, f.members(0, 1)...)
		}
	}
}

// members returns the nodes first, first+step and so on.
func (f *fleet) members(first, step int) []int {
	var out []int
	for i := first; i < f.n; i += step {
		out = append(out, i)
	}
	return out
}

// epidemic makes each node send to four random others, once per interval, all counts
// that it holds and that are less than a second old.
func (f *fleet) epidemic(node int) {
	const fanout, recent = 4, second
	if !f.isDue(node, 0, interval) {
		return
	}
	var recentOrigins []int
	for origin, stamp := range f.newest[node] {
		if f.now-stamp < recent {
			recentOrigins = append(recentOrigins, origin)
		}
	}
	for range min(fanout, f.n-1) {
		f.send(node, f.rng.IntN(f.n), bytesPerNode*len(recentOrigins), recentOrigins...)
	}
}

// groups makes nodes report to each other within a group and receive the sum of every
// other group from a relay in it, which changes every two seconds. The interval keeps
// inbound messages at 85 a second at most.
func (f *fleet) groups(node int) {
	const maxInbound, relayTerm, maxMeshNodes = 85, 2 * second, 16
	count := 1
	if f.n > maxMeshNodes {
		count = 1 << int(math.Round(math.Log2(float64(f.n))/2))
	}
	every := max(interval, second*(f.n/count+count-1)/maxInbound)
	own := node % count
	groupMembers := f.members(own, count)
	for i, to := range groupMembers {
		if f.isDue(node, i*every/len(groupMembers), every) {
			f.send(node, to, bytesPerNode, node)
		}
	}
	if count == 1 {
		return
	}
	sum, rotation := sumSize(len(groupMembers)), f.now/relayTerm
	for to := range f.n {
		relay := (to/count + rotation) % len(groupMembers)
		if to%count != own && groupMembers[relay] == node && f.isDue(node, to*every/f.n, every) {
			f.send(node, to, sum, groupMembers...)
		}
	}
}
