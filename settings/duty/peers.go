package duty

import (
	"math/rand/v2"

	"github.com/knapweedgw/knapweedgw/membership"
)

// Announcees returns the nodes that a relay tells of a new revision: the
// others of its failure domain or, if it is alone there, one node elsewhere,
// so that some other node comes to hold the revision.
func Announcees(v *membership.View) []membership.Node {
	near, far := others(v)
	if len(near) > 0 || len(far) == 0 {
		return near
	}
	for _, n := range Acceptors(v) {
		if n.ID != v.Self {
			return []membership.Node{n}
		}
	}
	return far[:1]
}

// AntiEntropyPeer returns the node to compare heads with in a round: by turns
// a relay of the failure domain and a random node elsewhere.
func AntiEntropyPeer(v *membership.View, round int, rnd *rand.Rand) (membership.Node, bool) {
	near, far := others(v)
	self, _ := v.Node(v.Self)
	var relays []membership.Node
	for _, n := range Relays(v, self.FailureDomain) {
		if n.ID != v.Self {
			relays = append(relays, n)
		}
	}
	first, second := relays, far
	if round%2 == 1 {
		first, second = far, relays
	}
	for _, from := range [][]membership.Node{first, second, near} {
		if len(from) > 0 {
			return from[rnd.IntN(len(from))], true
		}
	}
	return membership.Node{}, false
}

// Seeds returns the nodes that a starting node asks: all of its region, for any
// of them may be the only one that holds the newest revision; without any, all
// the fleet. The order is random, so that starting nodes spread.
func Seeds(v *membership.View, rnd *rand.Rand) []membership.Node {
	self, _ := v.Node(v.Self)
	near, far := others(v)
	out := near
	for _, n := range far {
		if n.Region == self.Region {
			out = append(out, n)
		}
	}
	if len(out) == 0 {
		out = far
	}
	rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
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
