// Package duty assigns duties by rendezvous hashing over the membership view: which
// nodes accept settings, and which nodes relay them to a failure domain. It also
// selects the peers of announcements, pulls and anti-entropy. It does no I/O and
// keeps no state. While the views of nodes differ, several nodes or none may hold
// a duty. Both are safe: commits are compare-and-swap, and the work is done once
// the views agree.
package duty

import (
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/routing"
)

// Holders is the number of nodes that hold a duty: the primary and a standby for
// acceptors, two relays for a failure domain.
const Holders = 2

// Acceptors returns the nodes that accept changes: the primary, then the standby.
// The standby is in another region, otherwise in another failure domain, otherwise
// any other node, so that where possible the loss of a region or failure domain
// doesn't stop both.
func Acceptors(v *membership.View) []membership.Node {
	const name = "settings.acceptor"
	first := rank(v, name, 1, func(membership.Node) bool { return true })
	if len(first) == 0 {
		return nil
	}
	preferences := []func(membership.Node) bool{
		func(n membership.Node) bool { return n.Region != first[0].Region },
		func(n membership.Node) bool { return n.FailureDomain != first[0].FailureDomain },
		func(n membership.Node) bool { return n.ID != first[0].ID },
	}
	for _, match := range preferences {
		if standby := rank(v, name, 1, match); len(standby) > 0 {
			return append(first, standby[0])
		}
	}
	return first
}

// Relays returns the nodes that watch the store for a failure domain, Holders at
// most.
func Relays(v *membership.View, domain string) []membership.Node {
	match := func(n membership.Node) bool { return n.FailureDomain == domain }
	return rank(v, "settings.relay/"+domain, Holders, match)
}

// Position returns the index of a node in the list, -1 if it isn't there.
func Position(nodes []membership.Node, id string) int {
	for i, n := range nodes {
		if n.ID == id {
			return i
		}
	}
	return -1
}

// rank returns the first count nodes of the rendezvous order for a name, among the
// alive and suspect nodes that match.
func rank(v *membership.View, name string, count int, match func(membership.Node) bool) []membership.Node {
	var nodes []membership.Node
	var hashes []uint64
	for _, n := range v.Nodes {
		if n.State <= membership.Suspect && match(n) {
			nodes = append(nodes, n)
			hashes = append(hashes, routing.Hash(n.ID))
		}
	}
	var out []membership.Node
	for _, i := range routing.Top(nil, routing.Hash(name), hashes, count) {
		out = append(out, nodes[i])
	}
	return out
}
