package claims

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
)

// mutation is a mechanism taken out, to see that the histories catch it.
type mutation int

const (
	mutateNothing      mutation = iota
	mutateNoCompare             // the store arbitrates nothing
	mutateLateGrant             // a grant is used after its caller was refused
	mutateLostIsNotRun          // an answer that is lost frees the key
	mutateFailOpen              // a refused claim is run all the same
	mutateRetention             // claims are forgotten after a second
)

// history is one generated run: callers, nodes and targets, and two faults.
type history struct {
	*clock
	platform  *platform
	nodes     []*node
	keys      []core.KeyID
	mutation  mutation
	retention time.Duration

	armed            []armed
	hits             [points]int
	answersLostUntil core.Instant

	attempts int
	runs     map[core.KeyID]int      // the targets' own count
	ranBy    map[core.AttemptID]int  // by attempt
	notRun   map[core.AttemptID]bool // attempts whose caller was told so
	result   result
}

// result is what a history showed.
type result struct {
	Requests, Runs          int
	Doubled                 int // keys run more than once
	FalseNotRun             int // attempts run though their caller was told not
	Clear                   int
	LateSends               int // requests sent by a process that was frozen after it looked at its ticket
	RanEarlier              int // requests told not run, sent after an earlier one with the key had run
	Told                    [toldOutcomes]int
	StoreReads, StoreWrites int
	Conflicts, Uncertain    int
	KeysRun, KeysNever      int
	LeftEnds                int // outcomes not recorded at the end
}

// Bounds of a generated history.
const (
	minNodes, maxNodes = 3, 5
	maxKeys            = 3
	maxTries           = 6
	pauseMax           = 15 * time.Second
	historyEnd         = 5 * time.Minute
	maxNth             = 4
	twoNodesChance     = 0.3
)

// run generates and runs the history of a seed with two faults.
func run(seed, stream uint64, first, second fault, m mutation) result {
	c := newClock(seed, stream)
	h := &history{
		clock: c, platform: newPlatform(c), mutation: m,
		retention: core.DefaultConfig().Retention,
		runs:      make(map[core.KeyID]int),
		ranBy:     make(map[core.AttemptID]int),
		notRun:    make(map[core.AttemptID]bool),
	}
	h.platform.noCompare = m == mutateNoCompare
	if m == mutateRetention {
		h.retention = time.Second
	}
	for i := range minNodes + c.rng.IntN(maxNodes-minNodes+1) {
		n := &node{w: h, id: i}
		n.boot()
		h.nodes = append(h.nodes, n)
	}
	for i := range 1 + c.rng.IntN(maxKeys) {
		var k core.KeyID
		binary.BigEndian.PutUint64(k[:], uint64(c.rng.IntN(2))) // one or two shards
		k[15] = byte(i)
		h.keys = append(h.keys, k)
	}
	for _, f := range []fault{first, second} {
		h.armed = append(h.armed, armed{f, point(c.rng.IntN(int(points))), 1 + c.rng.IntN(maxNth)})
	}
	for _, k := range h.keys {
		h.startCallers(k, first == faultTwoNodes || second == faultTwoNodes)
	}
	h.clock.run(historyEnd)
	return h.tally()
}

func (h *history) startCallers(k core.KeyID, twoNodes bool) {
	at := h.between(0, 50*time.Millisecond)
	caller := func() { h.call(k, maxTries) }
	h.after(at, caller)
	if twoNodes || h.chance(twoNodesChance) {
		h.after(at, caller)
	}
}

// call sends a request to a random node, and sends it again with the same key
// until its caller knows that it was run, or gives up.
func (h *history) call(k core.KeyID, tries int) {
	h.result.Requests++
	over := false
	hear := func(t told) {
		if over {
			return
		}
		over = true
		h.result.Told[t]++
		if t == toldRun || tries == 1 || t == toldUnknown && h.chance(0.5) {
			return
		}
		h.after(h.between(10*time.Millisecond, pauseMax), func() { h.call(k, tries-1) })
	}
	h.after(h.between(500*time.Millisecond, pauseMax), func() { hear(toldNothing) })
	n := h.nodes[h.rng.IntN(len(h.nodes))]
	if n.down {
		h.after(time.Millisecond, func() { hear(toldNothing) })
		return
	}
	ranBefore := h.runs[k]
	h.on(n, h.between(netDelayMin, netDelayMax), func() {
		n.serve(k, ranBefore, func(t told) {
			if h.now >= h.answersLostUntil {
				h.after(h.between(netDelayMin, netDelayMax), func() { hear(t) })
			}
		})
	})
}

// ran counts a run at a target.
func (h *history) ran(a core.ClaimRequest) {
	h.runs[a.Key]++
	h.ranBy[a.Attempt]++
}

// refused notes that a caller is told that its request was not run.
func (h *history) refused(c *call) {
	h.notRun[c.attempt.Ask.Attempt] = true
	if c.ranBefore > 0 {
		h.result.RanEarlier++
	}
}

func (h *history) tally() result {
	r := h.result
	for _, k := range h.keys {
		r.Runs += h.runs[k]
		switch n := h.runs[k]; {
		case n > 1:
			r.Doubled++
		case n == 1:
			r.KeysRun++
		default:
			r.KeysNever++
		}
	}
	for a := range h.notRun {
		if h.ranBy[a] > 0 {
			r.FalseNotRun++
		}
	}
	r.StoreReads, r.StoreWrites = h.platform.reads, h.platform.writes
	for _, n := range h.nodes {
		r.LeftEnds += n.ends.Len()
		for _, o := range n.shards {
			r.Conflicts += o.shard.Counts.Conflicts
			r.Uncertain += o.shard.Counts.Uncertain
		}
	}
	return r
}

func (r *result) add(o result) {
	r.Requests += o.Requests
	r.Runs += o.Runs
	r.Doubled += o.Doubled
	r.FalseNotRun += o.FalseNotRun
	r.Clear += o.Clear
	r.LateSends += o.LateSends
	r.RanEarlier += o.RanEarlier
	for i := range r.Told {
		r.Told[i] += o.Told[i]
	}
	r.StoreReads += o.StoreReads
	r.StoreWrites += o.StoreWrites
	r.Conflicts += o.Conflicts
	r.Uncertain += o.Uncertain
	r.KeysRun += o.KeysRun
	r.KeysNever += o.KeysNever
	r.LeftEnds += o.LeftEnds
}

// workers is the number of goroutines that run histories.
const workers = 4

// runAll runs count histories that go through all pairs of faults in turn,
// and adds the results up by the first fault of the pair.
func runAll(seed uint64, count int, m mutation) [faults]result {
	var parts [workers][faults]result
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := w; i < count; i += workers {
				pair := i % int(faults*faults)
				first, second := fault(pair/int(faults)), fault(pair%int(faults))
				parts[w][first].add(run(seed, uint64(i), first, second, m))
			}
		})
	}
	wg.Wait()
	var out [faults]result
	for _, part := range parts {
		for f := range part {
			out[f].add(part[f])
		}
	}
	return out
}
