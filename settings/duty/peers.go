package duty

import (
	"math/rand/v2"
	"slices"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/routing"
)

// AnnouncementPeers returns the nodes to which a relay announces a new revision: the other
// nodes of its failure domain or, if there are none, one of its seeds, so that a
// second node holds the revision. The relays split the nodes of the failure domain
// by hash: first is this relay's own part, to be announced at once, and later is
// the other relay's part, to be announced after a delay in case that relay has
// failed.
func AnnouncementPeers(v *membership.View) (first, later []membership.Node) {
	sameDomain, _ := others(v)
	if len(sameDomain) == 0 {
		seeds := seeds(v)
		return seeds[:min(1, len(seeds))], nil
	}
	self, _ := v.Node(v.Self)
	relays := Relays(v, self.FailureDomain)
	if len(relays) == 0 {
		return sameDomain, nil
	}
	for _, n := range sameDomain {
		if Position(relays, v.Self) == int(routing.Hash(n.ID)%uint64(len(relays))) {
			first = append(first, n)
		} else {
			later = append(later, n)
		}
	}
	return first, later
}

// AntiEntropyPeer returns the node to compare heads with: in even rounds another
// relay of this node's failure domain, in odd rounds a random node of another
// failure domain. If there is no such node it returns one of the other kind, or
// else any other node of the failure domain; ok is false if there is no other
// node.
func AntiEntropyPeer(v *membership.View, round int, rnd *rand.Rand) (membership.Node, bool) {
	self, _ := v.Node(v.Self)
	relay := func() (membership.Node, bool) {
		relays := slices.DeleteFunc(Relays(v, self.FailureDomain), func(n membership.Node) bool { return n.ID == v.Self })
		return pick(relays, rnd, func(membership.Node) bool { return true })
	}
	other := func(sameDomain bool) func() (membership.Node, bool) {
		return func() (membership.Node, bool) {
			return pick(v.Nodes, rnd, func(n membership.Node) bool {
				return n.ID != v.Self && n.State != membership.Dead && sameDomain == (n.FailureDomain == self.FailureDomain)
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

// pick returns a random node among the matching ones, without allocating.
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

// Seeds returns the nodes that a starting node asks for settings; it asks all of
// them, because any one may be the only node that holds the newest revision. Two
// nodes are seeds of each other if they share a region or failure domain, or if
// one of them is the only node of its region. The order is random, so that
// starting nodes spread their load.
func Seeds(v *membership.View, rnd *rand.Rand) []membership.Node {
	out := seeds(v)
	rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// IsSeed returns whether the node with a peer address is a seed of this node, so
// that this node would recover from it after a restart what it holds.
func IsSeed(v *membership.View, addr string) bool {
	return slices.ContainsFunc(seeds(v), func(n membership.Node) bool { return n.PeerAddr == addr })
}

// seeds returns the nodes of Seeds in the order of the view.
func seeds(v *membership.View) []membership.Node {
	self, _ := v.Node(v.Self)
	nodesInRegion := map[string]int{self.Region: 1}
	sameDomain, otherDomains := others(v)
	for _, n := range append(sameDomain, otherDomains...) {
		nodesInRegion[n.Region]++
	}
	out := sameDomain
	for _, n := range otherDomains {
		if n.Region == self.Region || nodesInRegion[n.Region] == 1 || nodesInRegion[self.Region] == 1 {
			out = append(out, n)
		}
	}
	return out
}

// others returns the other nodes that are not dead, in this node's failure domain
// and in other ones.
func others(v *membership.View) (sameDomain, otherDomains []membership.Node) {
	self, _ := v.Node(v.Self)
	for _, n := range v.Nodes {
		switch {
		case n.ID == v.Self || n.State == membership.Dead:
		case n.FailureDomain == self.FailureDomain:
			sameDomain = append(sameDomain, n)
		default:
			otherDomains = append(otherDomains, n)
		}
	}
	return sameDomain, otherDomains
}
