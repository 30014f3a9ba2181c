package soak

import (
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/soaknode"
	"github.com/knapweedgw/knapweedgw/lab/standin"
)

const (
	// partitionFor is how long nodes are partitioned from all engines; from partitionContact after
	// its begin, their callers are served as those of the other nodes.
	partitionFor     = 7 * time.Second
	partitionContact = 3 * time.Second
	// Violated if first tries at partitioned nodes are served less than leastRatio as often as those at
	// the others, and more than allowedFailures and allowedShare of all first tries fail there.
	leastRatio      = 2.0 / 3
	allowedFailures = 10
	allowedShare    = 1.0 / 50
)

// partitionCheck counts the requests that are sent while nodes are partitioned from all engines.
type partitionCheck struct {
	nodes []*process
	mu    sync.Mutex
	// partitions are all partitions so far.
	partitions []*partition
	busy       sync.Mutex
}

// partition is a time in which some nodes are partitioned from all engines.
type partition struct {
	fault standin.PathFault
	nodes []*process
	// counted is when its effects on callers are no longer allowed, to when it ended.
	counted, to time.Time
	cut, others tally
}

type tally struct{ sent, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

func (t *tally) add(served bool) {
	t.sent++
	if served {
		t.served++
	}
}

// observe counts a request in the partition in which it was sent, unless its node was disrupted.
func (c *partitionCheck) observe(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.partitions {
		if x.sent.Before(p.counted) || !p.to.IsZero() && x.sent.After(p.to) {
			continue
		}
		from := x.sent.Add(-partitionContact)
		if x.node.disrupted.overlaps(from, x.ended) || x.node.starts.overlaps(from, x.ended) || x.node.stopSignals.overlaps(from, x.ended) {
			continue
		}
		if !c.hasOther(p, from, x.ended) {
			continue
		}
		served := x.err == nil && x.status == 200
		if slices.Contains(p.nodes, x.node) {
			p.cut.add(served)
		} else {
			p.others.add(served)
		}
	}
}

// hasOther reports whether a node outside of a partition was undisturbed from one time to another. Without
// one there is nothing to compare with, and no path to targets.
func (c *partitionCheck) hasOther(p *partition, from, to time.Time) bool {
	return slices.ContainsFunc(c.nodes, func(n *process) bool {
		return !slices.Contains(p.nodes, n) && !n.disrupted.overlaps(from, to) && !n.starts.overlaps(from, to) &&
			!n.stopSignals.overlaps(from, to)
	})
}

// partitionNodes cuts some nodes off from all engines for a while, at most all but one.
func (r *run) partitionNodes(s Step) {
	length := min(partitionFor, r.Length-s.At-partitionContact)
	if length <= partitionContact || !r.partitions.busy.TryLock() {
		return
	}
	defer r.partitions.busy.Unlock()
	count := 1 + s.Variant%(len(r.nodes)-1)
	p := &partition{fault: standin.PathFault(1 + s.Variant%4), counted: time.Now().Add(partitionContact)}
	for i := range count {
		p.nodes = append(p.nodes, r.nodes[(s.Which+i)%len(r.nodes)])
	}
	for _, n := range p.nodes {
		defer n.pathFaults.begin()()
		n.setPathFault(r, p.fault)
	}
	r.partitions.mu.Lock()
	r.partitions.partitions = append(r.partitions.partitions, p)
	r.partitions.mu.Unlock()
	time.Sleep(length)
	r.partitions.mu.Lock()
	p.to = time.Now()
	r.partitions.mu.Unlock()
	for _, n := range p.nodes {
		n.setPathFault(r, standin.PathOpen)
	}
}

// setPathFault sets the fault of the node's path to all engines; it also applies to its later programs.
func (p *process) setPathFault(r *run, f standin.PathFault) {
	file := p.pathFaultFile()
	r.must(os.WriteFile(file+".new", []byte(f.String()), 0o600))
	r.must(os.Rename(file+".new", file))
}

func (p *process) pathFaultFile() string {
	return filepath.Join(filepath.Dir(p.logs), p.name+".path-fault")
}

// pathFaultVariable returns the environment entry that names the node's fault file.
func (p *process) pathFaultVariable() string { return soaknode.FaultVariable + "=" + p.pathFaultFile() }

// checkPartitions checks how often callers of partitioned nodes were served.
func (r *run) checkPartitions() {
	r.partitions.mu.Lock()
	defer r.partitions.mu.Unlock()
	for _, p := range r.partitions.partitions {
		failed := p.cut.sent - p.cut.served
		all := p.cut.sent + p.others.sent
		r.checker.report.Partitions = append(r.checker.report.Partitions, PartitionServed{
			Fault: p.fault.String(), Nodes: len(p.nodes), Cut: p.cut.sent, CutServed: p.cut.served,
			Others: p.others.sent, OthersServed: p.others.served,
		})
		if p.cut.share() < leastRatio*p.others.share() && float64(failed) > allowedFailures+allowedShare*float64(all) {
			r.checker.broken("%d nodes that were partitioned (%s) from all engines served %d of %d, the others %d of %d",
				len(p.nodes), p.fault, p.cut.served, p.cut.sent, p.others.served, p.others.sent)
		}
	}
}
