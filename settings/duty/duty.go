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

// Acceptors returns the nodes that accept changes, the first one first. The
// standby is in another region, else in another failure domain, if there is
// one, so that no loss of a region or failure domain takes both.
func Acceptors(v *membership.View) []membership.Node {
	const name = "settings.acceptor"
	first := rank(v, name, 1, func(membership.Node) bool { return true })
	if len(first) == 0 {
		return nil
	}
	apart := []func(membership.Node) bool{
		func(n membership.Node) bool { return n.Region != first[0].Region },
		func(n membership.Node) bool { return n.FailureDomain != first[0].FailureDomain },
		func(n membership.Node) bool { return n.ID != first[0].ID },
	}
	for _, in := range apart {
		if standby := rank(v, name, 1, in); len(standby) > 0 {
			return append(first, standby[0])
		}
	}
	return first
}

// Relays returns the nodes that watch the store for a failure domain.
func Relays(v *membership.View, domain string) []membership.Node {
	in := func(n membership.Node) bool { return n.FailureDomain == domain }
	return rank(v, "settings.relay/"+domain, Holders, in)
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

// rank returns the first nodes of the rendezvous order for a name.
func rank(v *membership.View, name string, holders int, in func(membership.Node) bool) []membership.Node {
	var nodes []membership.Node
	var hashes []uint64
	for _, n := range v.Nodes {
		if n.State <= membership.Suspect && in(n) {
			nodes = append(nodes, n)
			hashes = append(hashes, routing.Hash(n.ID))
		}
	}
	var out []membership.Node
	for _, i := range routing.Top(nil, routing.Hash(name), hashes, holders) {
		out = append(out, nodes[i])
	}
	return out
}
