package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/knapweedgw/knapweedgw/heartbeat"
)

// How the nodes of the model tell each other their counts: as they do in earnest, or by
// a mesh of reports as old as the test wants.

func simName(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/200, i%200+1) }

// startNews lets the nodes know each other, if they are to tell each other news as they
// do in earnest.
func (s *sim) startNews() {
	if s.interval > 0 {
		return
	}
	names := make([]string, s.nodes)
	for i := range names {
		names[i] = simName(i)
	}
	for _, n := range s.members {
		n.news = heartbeat.NewMachine(heartbeat.DefaultConfig(), n.name, 1, rand.New(rand.NewPCG(s.rng.Uint64(), 1)))
		n.news.Know(simTime(0), names...)
		n.next = s.rng.Float64() * float64(heartbeat.DefaultConfig().Interval.Milliseconds())
	}
}

// exchange has the nodes tell each other news as they do in earnest.
func (s *sim) exchange(tick int) {
	for _, n := range s.members {
		if n.next > float64(tick) {
			continue
		}
		out, next, err := n.news.Step(n.report(s, tick), nil, simTime(tick))
		if err != nil {
			panic(err)
		}
		n.next += max(1, float64(next.Milliseconds()))
		for _, d := range out {
			s.deliver(s.members[s.byName[d.To]], d.Body, tick)
		}
	}
}

func (s *sim) deliver(to *simNode, body []byte, tick int) {
	a, err := to.news.Receive(body, simTime(tick))
	if err != nil {
		panic(err)
	}
	if !a.News {
		return
	}
	for _, u := range a.Report.Uses {
		to.parts.Heard(u, simTime(tick))
	}
}

// told returns what the other nodes say of a target.
func (n *simNode) told(hash uint64) heartbeat.Sum {
	if n.news != nil {
		return n.news.Target(hash)
	}
	return n.view.Target(hash)
}

// age is how old counts of other nodes get.
func (w world) age() time.Duration {
	if w.interval > 0 {
		return w.interval
	}
	return heartbeat.DefaultConfig().CountAgeFor(w.nodes)
}

// between is the time between two reports to the same node.
func (w world) between() time.Duration {
	if w.interval > 0 {
		return w.interval
	}
	return heartbeat.DefaultConfig().IntervalFor(w.nodes)
}

// batch is the number of nodes that get a report at the same moment.
func (s *sim) batch() int {
	const meshBatch = 8 // of the mesh that is weighed
	return min(meshBatch, s.nodes-1)
}

// pace returns the ticks between two batches of a node.
func (s *sim) pace() float64 {
	return float64(s.interval.Milliseconds()) * float64(s.batch()) / float64(s.nodes-1)
}

func (s *sim) reports(tick int) {
	if s.interval == 0 {
		s.exchange(tick)
		return
	}
	for at, n := range s.members {
		for n.next <= float64(tick) {
			n.next += s.pace()
			r := n.report(s, tick)
			for range s.batch() {
				n.turn = (n.turn + 1) % s.nodes
				if n.turn == at {
					n.turn = (n.turn + 1) % s.nodes
				}
				to := s.members[n.turn]
				to.view.Receive(r, simTime(tick))
				for _, u := range r.Uses {
					to.parts.Heard(u, simTime(tick))
				}
			}
		}
	}
}

func (n *simNode) report(s *sim, tick int) heartbeat.Report {
	const slack = 50 // ticks
	for len(n.uses) > 0 && n.usesAt[0] < tick-int(s.between().Milliseconds())-slack {
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
