package overload

import (
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of request of the simulated traffic.
type kind struct {
	class    string
	priority int
	perTick  float64 // arrivals a millisecond over all nodes
	work     int     // milliseconds in a slot
}

// sender is a workspace with its part of the traffic.
type sender struct {
	name string
	part func(tick int) float64
}

// world is a service with a queue in front of its slots, and nodes that see the
// number of requests there as it was lag milliseconds ago. One tick is one
// millisecond.
type world struct {
	nodes, slots, lag int
	kinds             []kind
	senders           []sender
	// clump is how many requests come at once to one node, at least 1.
	clump int
	surge func(tick int) float64
	// slotsAt, if set, goes before slots.
	slotsAt func(tick int) int
	gated   bool
}

// result counts requests by class and by workspace.
type result map[string]*outcome

type outcome struct {
	asked, admitted, inTime, refused int
	work                             int // milliseconds of slots for those in time
}

func (o outcome) served() float64 { return float64(o.inTime) / float64(max(o.asked, 1)) }

const (
	simTarget = 400 * time.Millisecond
	simLeft   = 10 * time.Second
)

type simRequest struct {
	arrived int
	kind    kind
	sender  string
	node    int
	queued  bool
}

// run plays ticks milliseconds and counts the requests that arrive after from.
func (w world) run(seed uint64, from, ticks int) result {
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	gates := make([]*Gate, w.nodes)
	for i := range gates {
		gates[i] = NewGate(DefaultConfig(), rng)
	}
	out := result{}
	var queue, running []simRequest
	ends := make(map[int][]simRequest)
	inFlight := make([]int, w.nodes)
	history := make([][]int, 0, ticks)
	for tick := range ticks {
		now := start.Add(time.Duration(tick) * time.Millisecond)
		for _, r := range ends[tick] {
			gates[r.node].Answered(time.Duration(tick-r.arrived)*time.Millisecond, r.queued)
			inFlight[r.node]--
			running = slices.Delete(running, 0, 1)
		}
		history = append(history, slices.Clone(inFlight))
		slots := w.slots
		if w.slotsAt != nil {
			slots = w.slotsAt(tick)
		}
		old := history[max(0, tick-w.lag)]
		for _, r := range w.arrivals(tick, rng) {
			load := Load{
				Running: sumOf(old) - old[r.node] + inFlight[r.node], Own: inFlight[r.node], Slots: slots,
				Nodes: w.nodes, Age: time.Duration(w.lag) * time.Millisecond,
			}
			d := gates[r.node].Admit(Request{
				Class: r.kind.class, Workspace: r.sender, Priority: r.kind.priority,
				TargetLatency: simTarget, Remaining: simLeft,
			}, load, now)
			admitted := !w.gated || d.Admitted()
			r.queued = d.Queued()
			if admitted {
				queue = append(queue, r)
				inFlight[r.node]++
			}
			out.count(r, tick >= from, func(o *outcome) {
				o.asked++
				if admitted {
					o.admitted++
				} else {
					o.refused++
				}
			})
		}
		for len(queue) > 0 && len(running) < slots {
			r := queue[0]
			queue = queue[1:]
			running = append(running, r)
			ends[tick+r.kind.work] = append(ends[tick+r.kind.work], r)
			if tick-r.arrived <= int(simTarget.Milliseconds()) {
				out.count(r, r.arrived >= from, func(o *outcome) {
					o.inTime++
					o.work += r.kind.work
				})
			}
		}
	}
	return out
}

func (out result) count(r simRequest, counted bool, f func(*outcome)) {
	if !counted {
		return
	}
	for _, name := range []string{"", r.kind.class, r.sender} {
		if out[name] == nil {
			out[name] = &outcome{}
		}
		f(out[name])
	}
}

// arrivals draws those of one tick: a Poisson number of clumps of each kind.
func (w world) arrivals(tick int, rng *rand.Rand) []simRequest {
	var out []simRequest
	for _, k := range w.kinds {
		clump := max(w.clump, 1)
		rate := k.perTick * w.surge(tick) / float64(clump)
		for at := rng.ExpFloat64(); at < rate; at += rng.ExpFloat64() {
			node := rng.IntN(w.nodes)
			for range clump {
				out = append(out, simRequest{arrived: tick, kind: k, sender: w.draw(tick, rng), node: node})
			}
		}
	}
	return out
}

func (w world) draw(tick int, rng *rand.Rand) string {
	total := 0.0
	for _, s := range w.senders {
		total += s.part(tick)
	}
	at := rng.Float64() * total
	for _, s := range w.senders {
		if at -= s.part(tick); at < 0 {
			return s.name
		}
	}
	return w.senders[0].name
}

func sumOf(v []int) int {
	n := 0
	for _, x := range v {
		n += x
	}
	return n
}
