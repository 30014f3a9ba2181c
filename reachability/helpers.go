package reachability

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/routing"
	"github.com/knapweedgw/knapweedgw/tunnel"
)

// Pauses after which a node that could not carry a connection is asked again.
const (
	// noPathPause is several trial intervals: a partition lasts seconds.
	noPathPause = 500 * time.Millisecond
	busyPause   = 300 * time.Millisecond
	// unavailablePause applies to nodes that don't offer tunnels, such as those of an earlier
	// release, and to those that have just ended.
	unavailablePause = time.Second
	silentPause      = time.Second
)

const (
	// workingSet is the number of nodes among which connections are spread. Each node has its own
	// first ones among all, so that the nodes of a failure domain that is cut off spread over the
	// rest of the fleet.
	workingSet = 8
	// assumedLeft is the number of further connections assumed of a node that wasn't asked yet.
	assumedLeft = 64
	// localWeight is how many times more likely a node of this node's failure domain is chosen than
	// another with as much room, since bytes between domains are charged for.
	localWeight = 3
)

// helper is what is known of a node that may carry connections.
type helper struct {
	domain       string
	asked        bool
	left         int
	excludeUntil time.Time
}

// Helpers selects the nodes that carry connections for this one. It is not safe for concurrent use.
type Helpers struct {
	self   uint64 // hash of this node's address
	domain string
	known  map[string]*helper
	rng    *rand.Rand
}

// NewHelpers returns the selection of a node with the given address and failure domain.
func NewHelpers(self, domain string, rng *rand.Rand) *Helpers {
	return &Helpers{self: routing.Hash(self), domain: domain, known: make(map[string]*helper), rng: rng}
}

// Pick returns one of the nodes, without those in tried and those that lately could not carry a
// connection, at random in proportion to their room; ok is false if none is left.
func (h *Helpers) Pick(nodes, tried []string, now time.Time) (node string, ok bool) {
	if len(h.known) > len(nodes) {
		h.retain(nodes)
	}
	type ranked struct {
		node string
		rank uint64
	}
	all := make([]ranked, 0, len(nodes))
	for _, n := range nodes {
		if slices.Contains(tried, n) || h.excluded(n, now) {
			continue
		}
		all = append(all, ranked{n, routing.Rank(h.self, routing.Hash(n))})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	all = all[:min(len(all), workingSet)]
	total := 0
	for _, n := range all {
		total += h.weight(n.node)
	}
	if total == 0 {
		return "", false
	}
	at := h.rng.IntN(total)
	for _, n := range all {
		if at -= h.weight(n.node); at < 0 {
			return n.node, true
		}
	}
	return "", false
}

func (h *Helpers) excluded(node string, now time.Time) bool {
	k, ok := h.known[node]
	return ok && now.Before(k.excludeUntil)
}

// weight is at least 1.
func (h *Helpers) weight(node string) int {
	k, ok := h.known[node]
	if !ok || !k.asked {
		return assumedLeft
	}
	w := max(k.left, 1)
	if k.domain == h.domain {
		w *= localWeight
	}
	return w
}

// Record records the outcome of asking a node, err as returned by tunnel.Dial.
func (h *Helpers) Record(i tunnel.Info, err error, now time.Time) {
	k, ok := h.known[i.Node]
	if !ok {
		k = &helper{}
		h.known[i.Node] = k
	}
	switch {
	case err == nil:
		k.asked, k.domain, k.left, k.excludeUntil = true, i.Domain, i.Left, time.Time{}
	case errors.Is(err, tunnel.ErrNoPath):
		k.excludeUntil = now.Add(noPathPause)
	case errors.Is(err, tunnel.ErrBusy):
		k.excludeUntil = now.Add(busyPause)
	case errors.Is(err, tunnel.ErrUnavailable):
		k.excludeUntil = now.Add(unavailablePause)
	}
}

// RecordSilence records that a node did not answer in time.
func (h *Helpers) RecordSilence(node string, now time.Time) {
	h.Record(tunnel.Info{Node: node}, nil, now)
	h.known[node].asked = false
	h.known[node].excludeUntil = now.Add(silentPause)
}

// retain forgets all nodes but the given ones.
func (h *Helpers) retain(nodes []string) {
	for n := range h.known {
		if !slices.Contains(nodes, n) {
			delete(h.known, n)
		}
	}
}
