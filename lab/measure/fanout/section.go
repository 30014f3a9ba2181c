// Package fanout measures on virtual time how an accepted revision of the
// settings reaches every node: by a store watch of every node, by relays in each
// failure domain, and by gossip. It runs the product's selection of relays and
// peers, its ordering of revisions and its deltas; the store, the network and the
// membership views are simulated.
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
	settleTime  = time.Minute // changes written in the last settleTime of a run aren't counted
	outageBegin = 6 * time.Minute
	outageTime  = 2 * time.Minute
	// busyAge is the age above which a VM may count as the busiest, so that the
	// traffic of its start is averaged over a longer time.
	busyAge = 5 * time.Minute
	// productStrategy is the strategy that the product uses; only this one is
	// measured with an outage of the store.
	productStrategy = "relays"
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

var strategies = []struct {
	name string
	make func(*simulation) strategy
}{
	{"watch a node", newWatchEach},
	{"gossip", newGossip},
	{productStrategy, newRelays},
}

// row is the result of one run of a strategy.
type row struct {
	strategy  string
	nodes     int
	outage    bool
	changes   int
	p50, p99  time.Duration
	worst     time.Duration
	open      int // changes not served by every node at the end
	readRate  float64
	writeRate float64
	meanRate  float64 // control bytes in and out, per node and second
	maxRate   float64 // control bytes in and out of the busiest VM, per second
	reverted  int     // times that a slot served a lower revision than before
}

// Fields implements measure.Row.
func (r row) Fields() []measure.Field {
	return []measure.Field{
		{Name: "way", Value: r.strategy}, {Name: "nodes", Value: r.nodes}, {Name: "outage", Value: r.outage},
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
		for _, w := range strategies {
			if outage && w.name != productStrategy {
				continue
			}
			for _, size := range sizes {
				if ctx.Err() != nil {
					return "", ctx.Err()
				}
				last = measureStrategy(size, seed, outage, w.make)
				last.strategy = w.name
				if err := rep.Add(sec.Name(), last); err != nil {
					return "", err
				}
			}
		}
	}
	return fmt.Sprintf("settings: nodes=%d p99=%.2fs worst=%.2fs store_reads_per_s=%.0f control_Bps=%.0f reverted=%d",
		last.nodes, last.p99.Seconds(), last.worst.Seconds(), last.readRate, last.meanRate, last.reverted), nil
}

func measureStrategy(size Size, seed uint64, outage bool, newStrategy func(*simulation) strategy) row {
	s := newSimulation(size, seed, newStrategy)
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
	var durations []time.Duration
	for _, c := range s.changes {
		if c.written > s.clock.now-settleTime {
			break
		}
		if slices.Contains(s.open, c) {
			r.open++
			continue
		}
		durations = append(durations, c.duration)
	}
	slices.Sort(durations)
	r.changes = len(durations)
	r.p50, r.p99, r.worst = measure.Quantile(durations, 0.50), measure.Quantile(durations, 0.99), measure.Quantile(durations, 1)
	return r
}
