// Package news measures, on virtual time, ways in which nodes can tell each other
// their counts: how old the word of another node is, and what it costs a node.
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
	interval = second / 5 // between two messages of a small fleet
	settle   = 12 * second
	measured = 10 * second
)

// The model's sizes, in bytes, and traffic.
const (
	header  = 28 + 60 // of a packet, and of a report
	perSum  = 5       // a target in a sum
	perNode = 30      // a node's own counts with its name and version
	targets = 192
	running = 4 // targets that a node uses at a time
	loss    = 0.01
)

var sizes = []int{7, 66, 295, 370}

// Section is the measurement.
type Section struct{}

// Name implements measure.Section.
func (Section) Name() string { return "news" }

// Run implements measure.Section.
func (s Section) Run(ctx context.Context, r *measure.Reporter, seed uint64) (string, error) {
	var last row
	for _, n := range sizes {
		for _, p := range plans {
			if err := ctx.Err(); err != nil {
				return "", err
			}
			last = run(p, n, seed)
			if err := r.Add(s.Name(), last); err != nil {
				return "", err
			}
		}
	}
	return fmt.Sprintf("news: plan=%s nodes=%d age_p50_s=%.2f", last.plan, last.nodes, last.median), nil
}

// row is what was measured. Ages are in seconds; the busiest node is the one that gets
// the most messages.
type row struct {
	plan                     string
	nodes                    int
	median, late, worst      float64
	messages, bytes          float64 // a second, received, at the average node
	busyMessages, busyMedian float64 // at the busiest and the median node
}

// Fields implements measure.Row.
func (r row) Fields() []measure.Field {
	return []measure.Field{
		{Name: "plan", Value: r.plan}, {Name: "nodes", Value: r.nodes},
		{Name: "age_p50_s", Value: r.median}, {Name: "age_p99_s", Value: r.late}, {Name: "age_worst_s", Value: r.worst},
		{Name: "messages_node_s", Value: r.messages}, {Name: "messages_median_s", Value: r.busyMedian},
		{Name: "messages_busiest_s", Value: r.busyMessages}, {Name: "bytes_node_s", Value: r.bytes},
	}
}

// plan is a way to tell counts.
type plan struct {
	name string
	// send sends what node at has to send at a tick.
	send func(f *fleet, at int)
}

var plans = []plan{
	{"mesh, 60 a second", (*fleet).mesh},
	{"mesh of changes, 60 a second", (*fleet).changes},
	{"two adders a domain", (*fleet).adders},
	{"epidemic of changes", (*fleet).epidemic},
	{"groups", (*fleet).groups},
}

// fleet is nodes that know when each other's word is from.
type fleet struct {
	rng *rand.Rand
	n   int
	now int
	// have is, by receiver and origin, the tick of the newest word.
	have [][]int
	// phase is when in its interval a node sends.
	phase           []int
	messages, bytes []int
}

func run(p plan, n int, seed uint64) row {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, uint64(n))), n: n}
	for range n {
		f.have = append(f.have, make([]int, n))
		f.phase = append(f.phase, f.rng.IntN(1<<30))
	}
	var ages []float64
	for f.now = 1; f.now < settle+measured; f.now++ {
		if f.now == settle {
			f.messages, f.bytes = make([]int, n), make([]int, n)
		}
		for at := range n {
			f.have[at][at] = f.now
			p.send(f, at)
		}
		if f.now > settle && f.now%10 == 0 {
			ages = f.sample(ages)
		}
	}
	return f.row(p.name, ages)
}

func (f *fleet) sample(ages []float64) []float64 {
	const pairs = 200
	for range pairs {
		at, of := f.rng.IntN(f.n), f.rng.IntN(f.n)
		if at != of {
			ages = append(ages, float64(f.now-f.have[at][of])/second)
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
		plan: name, nodes: f.n, median: ages[len(ages)/2], late: ages[len(ages)*99/100], worst: ages[len(ages)-1],
		messages: float64(messages) / seconds / float64(f.n), bytes: float64(bytes) / seconds / float64(f.n),
		busyMessages: float64(f.messages[f.n-1]) / seconds, busyMedian: float64(f.messages[f.n/2]) / seconds,
	}
}

// tell gives a node the word of origins as another has it.
func (f *fleet) tell(from, to, size int, origins ...int) {
	if from == to {
		return
	}
	if f.messages != nil {
		f.messages[to]++
		f.bytes[to] += header + size
	}
	if f.rng.Float64() < loss {
		return
	}
	for _, o := range origins {
		f.have[to][o] = max(f.have[to][o], f.have[from][o])
	}
}

// due says whether node at sends the k-th of its messages of an interval now.
func (f *fleet) due(at, k, every int) bool { return (f.now+f.phase[at]+k)%every == 0 }

// sumSize is the size of the sum of so many nodes.
func sumSize(nodes int) int {
	used := targets * (1 - math.Pow(1-1.0/targets, float64(running*nodes)))
	return int(perSum * used)
}

// mesh: each node reports to each other, as often as keeps 60 a second inbound.
func (f *fleet) mesh(at int) { f.meshOf(at, perNode) }

// changes is mesh with reports of what changed: three quarters of the requests in
// progress are the same as an interval ago in a small fleet, none in a large one.
func (f *fleet) changes(at int) {
	size := perNode
	if f.n*second/60 <= interval {
		size = perNode / 2
	}
	f.meshOf(at, size)
}

func (f *fleet) meshOf(at, size int) {
	every := max(interval, f.n*second/60)
	for to := range f.n {
		if f.due(at, to*every/f.n, every) {
			f.tell(at, to, size, at)
		}
	}
}

// domains is the number of failure domains, addersOf that of adders in each.
const (
	domains  = 6
	addersOf = 2
)

// adders: each node reports to the adders of its domain, these tell each other their
// domains' sums, and their nodes those of all.
func (f *fleet) adders(at int) {
	if !f.due(at, 0, interval) {
		return
	}
	own := f.members(at%domains, domains)
	isAdder := at < domains*addersOf
	all := sumSize(f.n)
	for to := range f.n {
		switch {
		case to%domains == at%domains && to < domains*addersOf:
			f.tell(at, to, perNode, at)
		case isAdder && to < domains*addersOf:
			f.tell(at, to, sumSize(len(own)), own...)
		case isAdder && to%domains == at%domains:
			f.tell(at, to, all, f.members(0, 1)...)
		}
	}
}

// members returns the nodes that are first, first+step and so on.
func (f *fleet) members(first, step int) []int {
	var out []int
	for i := first; i < f.n; i += step {
		out = append(out, i)
	}
	return out
}

// epidemic: each node tells four random others, each interval, the words that it got
// within the last second and that are newer than an interval before.
func (f *fleet) epidemic(at int) {
	const fanout, recent = 4, second
	if !f.due(at, 0, interval) {
		return
	}
	var news []int
	for o, stamp := range f.have[at] {
		if f.now-stamp < recent {
			news = append(news, o)
		}
	}
	for range min(fanout, f.n-1) {
		f.tell(at, f.rng.IntN(f.n), perNode*len(news), news...)
	}
}

// groups: reports within a group, and the sums of other groups from a relay of each
// that changes every two seconds, as often as keeps 85 a second inbound.
func (f *fleet) groups(at int) {
	const most, lease, mesh = 85, 2 * second, 16
	count := 1
	if f.n > mesh {
		count = 1 << int(math.Round(math.Log2(float64(f.n))/2))
	}
	every := max(interval, second*(f.n/count+count-1)/most)
	own := at % count
	mates := f.members(own, count)
	for i, to := range mates {
		if f.due(at, i*every/len(mates), every) {
			f.tell(at, to, perNode, at)
		}
	}
	if count == 1 {
		return
	}
	sum, turn := sumSize(len(mates)), f.now/lease
	for to := range f.n {
		relay := (to/count + turn) % len(mates)
		if to%count != own && mates[relay] == at && f.due(at, to*every/f.n, every) {
			f.tell(at, to, sum, mates...)
		}
	}
}
