package claims

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
)

// mutation is a safety mechanism that is disabled to check that the histories detect it.
type mutation int

const (
	mutateNothing      mutation = iota
	mutateNoCompare             // the store commits regardless of compares
	mutateLateGrant             // a grant is used although its caller was refused before
	mutateLostIsNotRun          // a lost answer of a target releases the key
	mutateFailOpen              // a request is sent although its claim was refused
	mutateRetention             // claims are deleted after a second
)

// history is one generated run with callers, nodes, targets and two faults.
type history struct {
	*clock
	store     *faultyStore
	nodes     []*node
	keys      []core.KeyID
	mutation  mutation
	retention time.Duration

	armed              []armed
	hits               [pointCount]int
	responsesLostUntil core.Instant

	attempts int
	runs     map[core.KeyID]int      // runs at targets, by key
	ranBy    map[core.AttemptID]int  // runs at targets, by attempt
	notRun   map[core.AttemptID]bool // attempts whose caller was told that they weren't run
	result   result
}

// result holds the counts of one history or of several.
type result struct {
	Requests, Runs int
	Doubled        int // keys run more than once
	FalseNotRun    int // attempts run although their caller was told that they weren't
	Clear          int // refusals that state that no attempt with the key ran
	// LateSends counts requests sent after the life of their attempt, by a process that was
	// frozen after it checked the ticket.
	LateSends int
	// RanEarlier counts requests answered as not run that were sent after an earlier request
	// with the key had run.
	RanEarlier              int
	Responses               [responseCount]int
	StoreReads, StoreWrites int
	Conflicts, Uncertain    int
	KeysRun, KeysNeverRun   int
	UnrecordedEnds          int // outcomes not recorded at the end
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

// run generates and runs the history of a seed and stream with two faults.
func run(seed, stream uint64, first, second fault, m mutation) result {
	c := newClock(seed, stream)
	h := &history{
		clock: c, store: newFaultyStore(c), mutation: m,
		retention: core.DefaultConfig().Retention,
		runs:      make(map[core.KeyID]int),
		ranBy:     make(map[core.AttemptID]int),
		notRun:    make(map[core.AttemptID]bool),
	}
	h.store.noCompare = m == mutateNoCompare
	if m == mutateRetention {
		h.retention = time.Second
	}
	for i := range minNodes + c.rng.IntN(maxNodes-minNodes+1) {
		n := &node{history: h, id: i}
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
		h.armed = append(h.armed, armed{f, point(c.rng.IntN(int(pointCount))), 1 + c.rng.IntN(maxNth)})
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

// call sends a request to a random node, and sends it again with the same key until
// the response is that it ran or the caller gives up: after the last try, or with a
// chance of 0.5 if the outcome is unknown.
func (h *history) call(k core.KeyID, tries int) {
	h.result.Requests++
	over := false
	receive := func(r response) {
		if over {
			return
		}
		over = true
		h.result.Responses[r]++
		if r == responseRun || tries == 1 || r == responseUnknown && h.chance(0.5) {
			return
		}
		h.after(h.between(10*time.Millisecond, pauseMax), func() { h.call(k, tries-1) })
	}
	h.after(h.between(500*time.Millisecond, pauseMax), func() { receive(responseNone) })
	n := h.nodes[h.rng.IntN(len(h.nodes))]
	if n.down {
		h.after(time.Millisecond, func() { receive(responseNone) })
		return
	}
	ranBefore := h.runs[k]
	h.on(n, h.between(netDelayMin, netDelayMax), func() {
		n.serve(k, ranBefore, func(r response) {
			if h.now >= h.responsesLostUntil {
				h.after(h.between(netDelayMin, netDelayMax), func() { receive(r) })
			}
		})
	})
}

// ran counts a run at a target.
func (h *history) countRun(a core.ClaimRequest) {
	h.runs[a.Key]++
	h.ranBy[a.Attempt]++
}

// recordNotRun records that a caller is told that its request wasn't run.
func (h *history) recordNotRun(c *call) {
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
			r.KeysNeverRun++
		}
	}
	for a := range h.notRun {
		if h.ranBy[a] > 0 {
			r.FalseNotRun++
		}
	}
	r.StoreReads, r.StoreWrites = h.store.reads, h.store.writes
	for _, n := range h.nodes {
		r.UnrecordedEnds += n.ends.Len()
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
	for i := range r.Responses {
		r.Responses[i] += o.Responses[i]
	}
	r.StoreReads += o.StoreReads
	r.StoreWrites += o.StoreWrites
	r.Conflicts += o.Conflicts
	r.Uncertain += o.Uncertain
	r.KeysRun += o.KeysRun
	r.KeysNeverRun += o.KeysNeverRun
	r.UnrecordedEnds += o.UnrecordedEnds
}

// workers is the number of goroutines that run histories.
const workers = 4

// runAll runs count histories, which take all pairs of faults in turn, and sums the
// results by the first fault of the pair.
func runAll(seed uint64, count int, m mutation) [faultCount]result {
	var parts [workers][faultCount]result
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := w; i < count; i += workers {
				pair := i % int(faultCount*faultCount)
				first, second := fault(pair/int(faultCount)), fault(pair%int(faultCount))
				parts[w][first].add(run(seed, uint64(i), first, second, m))
			}
		})
	}
	wg.Wait()
	var out [faultCount]result
	for _, part := range parts {
		for f := range part {
			out[f].add(part[f])
		}
	}
	return out
}
