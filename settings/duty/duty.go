// Package duty chooses by rendezvous hashing which nodes accept settings and
// which relay them. It is pure. Views that differ may give a duty to several
// nodes or, until they agree, to none; neither harms.
package duty

import (
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/routing"
)

// Holders is the number of nodes that hold a duty: the first and a standby.
const Holders = 2

// Acceptors returns the nodes that accept changes, the first one first.
func Acceptors(v *membership.View) []membership.Node {
	return rank(v, "settings.acceptor", func(membership.Node) bool { return true })
}

// Relays returns the nodes that watch the store for a failure domain.
func Relays(v *membership.View, domain string) []membership.Node {
	in := func(n membership.Node) bool { return n.FailureDomain == domain }
	return rank(v, "settings.relay/"+domain, in)
}

// Position returns the index of a node, -1 if it isn't there.
func Position(nodes []membership.Node, id string) int {
	for i, n := range nodes {
		if n.ID == id {
			return i
		}
	}
	return -1
}

func rank(v *membership.View, name string, in func(membership.Node) bool) []membership.Node {
	var nodes []membership.Node
	var hashes []uint64
	for _, n := range v.Nodes {
		if n.State <= membership.Suspect && in(n) {
			nodes = append(nodes, n)
			hashes = append(hashes, routing.Hash(n.ID))
		}
	}
	var out []membership.Node
	for _, i := range routing.Top(nil, routing.Hash(name), hashes, Holders) {
		out = append(out, nodes[i])
	}
	return out
}
