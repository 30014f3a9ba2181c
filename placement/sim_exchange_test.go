package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/knapweedgw/knapweedgw/heartbeat"
)

// The simulated nodes exchange their counts either through the heartbeat package, as in
// production, or by full-mesh reports with an interval set by the test.

func simName(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/200, i%200+1) }

// startExchange makes the nodes known to each other if they use the heartbeat package.
func (s *sim) startExchange() {
	if s.interval > 0 {
		return
	}
	names := make([]string, s.nodes)
	for i := range names {
		names[i] = simName(i)
	}
	for _, n := range s.members {
		n.machine = heartbeat.NewMachine(heartbeat.DefaultConfig(), n.name, 1, rand.New(rand.NewPCG(s.rng.Uint64(), 1)))
		n.machine.AddNodes(simTime(0), names...)
		n.next = s.rng.Float64() * float64(heartbeat.DefaultConfig().Interval.Milliseconds())
	}
}

// exchange runs the heartbeat machines of the nodes and delivers their messages.
func (s *sim) exchange(tick int) {
	for _, n := range s.members {
		if n.next > float64(tick) {
			continue
		}
		out, next, err := n.machine.Step(n.report(s, tick), nil, simTime(tick))
		if err != nil {
			panic(err)
		}
		n.next += max(1, float64(next.Milliseconds()))
		for _, d := range out {
			s.deliver(s.members[s.nodeIndex[d.To]], d.Body, tick)
		}
	}
}

func (s *sim) deliver(to *simNode, body []byte, tick int) {
	a, err := to.machine.Receive(body, simTime(tick))
	if err != nil {
		panic(err)
	}
	if !a.IsNew {
		return
	}
	for _, u := range a.Report.Uses {
		to.parts.RecordRemote(u, simTime(tick))
	}
}

// othersCounts returns the sum of the other nodes' counts of a target.
func (n *simNode) othersCounts(hash uint64) heartbeat.Sum {
	if n.machine != nil {
		return n.machine.Target(hash)
	}
	return n.view.Target(hash)
}

// age returns the greatest age of other nodes' counts.
func (w world) age() time.Duration {
	if w.interval > 0 {
		return w.interval
	}
	return heartbeat.DefaultConfig().CountAgeFor(w.nodes)
}

// reportInterval returns the time between two reports to the same node.
func (w world) reportInterval() time.Duration {
	if w.interval > 0 {
		return w.interval
	}
	return heartbeat.DefaultConfig().IntervalFor(w.nodes)
}

// batchSize returns the number of nodes that get a report at the same moment.
func (s *sim) batchSize() int {
	const meshBatch = 8 // of the full-mesh reports
	return min(meshBatch, s.nodes-1)
}

// batchInterval returns the ticks between two batches of a node.
func (s *sim) batchInterval() float64 {
	return float64(s.interval.Milliseconds()) * float64(s.batchSize()) / float64(s.nodes-1)
}

func (s *sim) reports(tick int) {
	if s.interval == 0 {
		s.exchange(tick)
		return
	}
	for at, n := range s.members {
		for n.next <= float64(tick) {
			n.next += s.batchInterval()
			r := n.report(s, tick)
			for range s.batchSize() {
				n.nextPeer = (n.nextPeer + 1) % s.nodes
				if n.nextPeer == at {
					n.nextPeer = (n.nextPeer + 1) % s.nodes
				}
				to := s.members[n.nextPeer]
				to.view.Receive(r, simTime(tick))
				for _, u := range r.Uses {
					to.parts.RecordRemote(u, simTime(tick))
				}
			}
		}
	}
}

func (n *simNode) report(s *sim, tick int) heartbeat.Report {
	const slack = 50 // ticks
	for len(n.uses) > 0 && n.usesAt[0] < tick-int(s.reportInterval().Milliseconds())-slack {
		n.uses, n.usesAt = n.uses[1:], n.usesAt[1:]
	}
	n.sequence++
	r := heartbeat.Report{Node: n.name, Incarnation: 1, Sequence: n.sequence, Uses: n.uses}
	for i, running := range n.running {
		if running > 0 {
			r.Targets = append(r.Targets, heartbeat.TargetReport{
				Target: uint32(s.engines[i].Hash), Running: uint16(running),
			})
		}
	}
	return r
}
