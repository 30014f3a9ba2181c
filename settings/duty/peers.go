package duty

import (
	"math/rand/v2"
	"slices"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/routing"
)

// Announcees returns the nodes that a relay tells of a new revision: the
// others of its failure domain or, if it is alone there, one of those that it
// would ask at a start, so that another node comes to hold the revision. The
// relays share the failure domain: each tells its part at once and the rest,
// in case the other relay is gone, a little later.
func Announcees(v *membership.View) (first, later []membership.Node) {
	near, _ := others(v)
	if len(near) == 0 {
		seeds := seeds(v)
		return seeds[:min(1, len(seeds))], nil
	}
	self, _ := v.Node(v.Self)
	relays := Relays(v, self.FailureDomain)
	if len(relays) == 0 {
		return near, nil
	}
	for _, n := range near {
		if Position(relays, v.Self) == int(routing.Hash(n.ID)%uint64(len(relays))) {
			first = append(first, n)
		} else {
			later = append(later, n)
		}
	}
	return first, later
}

// AntiEntropyPeer returns the node to compare heads with in a round: by turns
// a relay of the failure domain and a random node elsewhere.
func AntiEntropyPeer(v *membership.View, round int, rnd *rand.Rand) (membership.Node, bool) {
	self, _ := v.Node(v.Self)
	relay := func() (membership.Node, bool) {
		relays := slices.DeleteFunc(Relays(v, self.FailureDomain), func(n membership.Node) bool { return n.ID == v.Self })
		return pick(relays, rnd, func(membership.Node) bool { return true })
	}
	other := func(near bool) func() (membership.Node, bool) {
		return func() (membership.Node, bool) {
			return pick(v.Nodes, rnd, func(n membership.Node) bool {
				return n.ID != v.Self && n.State != membership.Dead && near == (n.FailureDomain == self.FailureDomain)
			})
		}
	}
	order := []func() (membership.Node, bool){relay, other(false), other(true)}
	if round%2 == 1 {
		order[0], order[1] = order[1], order[0]
	}
	for _, choose := range order {
		if n, ok := choose(); ok {
			return n, true
		}
	}
	return membership.Node{}, false
}

// pick returns a random node among those that match, without allocating.
func pick(nodes []membership.Node, rnd *rand.Rand, match func(membership.Node) bool) (membership.Node, bool) {
	matching := 0
	for _, n := range nodes {
		if match(n) {
			matching++
		}
	}
	if matching == 0 {
		return membership.Node{}, false
	}
	skip := rnd.IntN(matching)
	for _, n := range nodes {
		if !match(n) {
			continue
		}
		if skip == 0 {
			return n, true
		}
		skip--
	}
	return membership.Node{}, false
}

// Seeds returns the nodes that a starting node asks, for any of them may be the
// only one that holds the newest revision: those of its region, and those that
// would ask this node. Two nodes ask each other if they share a region or one
// is alone in its region. The order is random, so that starting nodes spread.
func Seeds(v *membership.View, rnd *rand.Rand) []membership.Node {
	out := seeds(v)
	rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// IsSeed says whether this node would ask the node with a peer address at a
// start, and so find again what that node holds.
func IsSeed(v *membership.View, addr string) bool {
	return slices.ContainsFunc(seeds(v), func(n membership.Node) bool { return n.PeerAddr == addr })
}

func seeds(v *membership.View) []membership.Node {
	self, _ := v.Node(v.Self)
	population := map[string]int{self.Region: 1}
	near, far := others(v)
	for _, n := range append(near, far...) {
		population[n.Region]++
	}
	out := near
	for _, n := range far {
		if n.Region == self.Region || population[n.Region] == 1 || population[self.Region] == 1 {
			out = append(out, n)
		}
	}
	return out
}

// others returns the nodes that are not dead, in and outside of this node's
// failure domain.
func others(v *membership.View) (near, far []membership.Node) {
	self, _ := v.Node(v.Self)
	for _, n := range v.Nodes {
		switch {
		case n.ID == v.Self || n.State == membership.Dead:
		case n.FailureDomain == self.FailureDomain:
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	return near, far
}
