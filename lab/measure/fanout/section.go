// Package fanout measures on virtual time how an accepted revision of the
// settings reaches every node: by a watch a node, by relays in each failure
// domain, and by gossip. It drives the product's choice of relays and peers,
// its revision rule and its deltas; the store, the network and the membership
// views are modelled.
package fanout

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/measure"
)

const (
	runTime     = 15 * time.Minute
	settleTime  = time.Minute // after the last change counted
	outageBegin = 6 * time.Minute
	outageTime  = 2 * time.Minute
	// busyAge is the age from which a VM counts for the busiest, so that its
	// own start is spread over some time.
	busyAge = 5 * time.Minute
	chosen  = "relays"
)

// Section is the measurement "settings".
type Section struct{}

// Name implements measure.Section.
func (Section) Name() string { return "settings" }

var sizes = []Size{
	{Nodes: 8, Domains: 4, Regions: 1, Teams: 10},
	{Nodes: 53, Domains: 3, Regions: 1, Teams: 69},
	{Nodes: 370, Domains: 20, Regions: 7, Teams: 480},
}

var ways = []struct {
	name string
	make func(*simulation) way
}{
	{"watch a node", newWatchEach},
	{"gossip", newGossip},
	{chosen, newRelays},
}

// row is the result of one run.
type row struct {
	way       string
	nodes     int
	outage    bool
	changes   int
	p50, p99  time.Duration
	worst     time.Duration
	open      int // changes not in force everywhere at the end
	readRate  float64
	writeRate float64
	meanRate  float64 // control bytes in and out, a node
	maxRate   float64 // the busiest VM
	reverted  int
}

// Fields implements measure.Row.
func (r row) Fields() []measure.Field {
	return []measure.Field{
		{Name: "way", Value: r.way}, {Name: "nodes", Value: r.nodes}, {Name: "outage", Value: r.outage},
		{Name: "changes", Value: r.changes}, {Name: "p50_s", Value: r.p50.Seconds()},
		{Name: "p99_s", Value: r.p99.Seconds()}, {Name: "worst_s", Value: r.worst.Seconds()},
		{Name: "open", Value: r.open}, {Name: "reads_per_s", Value: r.readRate},
		{Name: "writes_per_s", Value: r.writeRate}, {Name: "Bps_mean", Value: r.meanRate},
		{Name: "Bps_busiest", Value: r.maxRate}, {Name: "reverted", Value: r.reverted},
	}
}

// Run implements measure.Section.
func (sec Section) Run(ctx context.Context, rep *measure.Reporter, seed uint64) (string, error) {
	var last row
	for _, outage := range []bool{true, false} {
		for _, w := range ways {
			if outage && w.name != chosen {
				continue
			}
			for _, size := range sizes {
				if ctx.Err() != nil {
					return "", ctx.Err()
				}
				last = measureWay(size, seed, outage, w.make)
				last.way = w.name
				if err := rep.Add(sec.Name(), last); err != nil {
					return "", err
				}
			}
		}
	}
	return fmt.Sprintf("settings: nodes=%d p99=%.2fs worst=%.2fs store_reads_per_s=%.0f control_Bps=%.0f reverted=%d",
		last.nodes, last.p99.Seconds(), last.worst.Seconds(), last.readRate, last.meanRate, last.reverted), nil
}

func measureWay(size Size, seed uint64, outage bool, newWay func(*simulation) way) row {
	s := newSimulation(size, seed, newWay)
	if outage {
		s.clock.after(outageBegin, func() { s.outage = true })
		s.clock.after(outageBegin+outageTime, func() { s.outage = false })
	}
	s.clock.run(runTime)
	return s.result(size, outage)
}

func (s *simulation) result(size Size, outage bool) row {
	seconds := s.clock.now.Seconds()
	r := row{
		nodes: size.Nodes, outage: outage, reverted: s.reverted,
		readRate: float64(s.reads) / seconds, writeRate: float64(s.writes) / seconds,
		meanRate: float64(s.bytes) / seconds / float64(size.Nodes),
	}
	for _, n := range s.fleet.nodes {
		if lived := s.clock.now - n.started; n.alive && lived > busyAge {
			r.maxRate = max(r.maxRate, float64(n.bytes)/lived.Seconds())
		}
	}
	var took []time.Duration
	for _, c := range s.changes {
		if c.written > s.clock.now-settleTime {
			break
		}
		if slices.Contains(s.open, c) {
			r.open++
			continue
		}
		took = append(took, c.took)
	}
	slices.Sort(took)
	r.changes = len(took)
	r.p50, r.p99, r.worst = measure.Quantile(took, 0.50), measure.Quantile(took, 0.99), measure.Quantile(took, 1)
	return r
}
