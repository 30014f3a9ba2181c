package heartbeat

import (
	"cmp"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/routing"
)

// Owners returns up to limit live nodes in the rendezvous order of key. Nodes that are leaving are
// left out, this one if leaving is set. Nodes that can't reach the store may own: owners need no
// store, and an outage of the store would otherwise move all owners twice.
func (v *View) Owners(key uint64, limit int, leaving bool, now time.Time) []string {
	type ranked struct {
		node string
		rank uint64
	}
	var all []ranked
	if !leaving {
		all = append(all, ranked{v.self, routing.Rank(key, v.key)})
	}
	v.live(now, func(node string, p *peer) {
		if !p.report.Leaving {
			all = append(all, ranked{node, routing.Rank(key, p.key)})
		}
	})
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.node, b.node))
	})
	out := make([]string, 0, min(limit, len(all)))
	for _, n := range all[:min(limit, len(all))] {
		out = append(out, n.node)
	}
	return out
}

// position returns how many known nodes that haven't announced that they leave precede this one in the
// rendezvous order of key, and the number of such nodes, this one included.
func (v *View) position(key uint64) (position, nodes int) {
	own := routing.Rank(key, v.key)
	nodes = 1
	for _, p := range v.peers {
		if p.report.Leaving {
			continue
		}
		nodes++
		if routing.Rank(key, p.key) > own {
			position++
		}
	}
	return position, nodes
}

// staying returns the number of known nodes, this one included, that haven't announced that they
// leave.
func (v *View) staying() int {
	n := 1
	for _, p := range v.peers {
		if !p.report.Leaving {
			n++
		}
	}
	return n
}

// heardAt returns when the last message of a node arrived, zero for never.
func (v *View) heardAt(node string) time.Time {
	p, ok := v.peers[node]
	if !ok {
		return time.Time{}
	}
	return p.heard
}

// Groups returns the other live nodes that aren't leaving by their groups, this node's group first, each in
// the rendezvous order of key.
func (v *View) Groups(key uint64, now time.Time) (own []string, others [][]string) {
	byGroup := make(map[int][]string)
	v.live(now, func(node string, p *peer) {
		if !p.report.Leaving {
			group := groupOf(p.key, v.groups)
			byGroup[group] = append(byGroup[group], node)
		}
	})
	for group, nodes := range byGroup {
		slices.SortFunc(nodes, func(a, b string) int {
			return cmp.Or(cmp.Compare(routing.Rank(key, v.peers[b].key), routing.Rank(key, v.peers[a].key)), cmp.Compare(a, b))
		})
		if group == v.group {
			own = nodes
		} else {
			others = append(others, nodes)
		}
	}
	return own, others
}

// StreamHolders returns up to limit live nodes of this node's group that take records of streams and aren't
// leaving, in the rendezvous order of key.
func (v *View) StreamHolders(key uint64, limit int, now time.Time) []string {
	own, _ := v.Groups(key, now)
	own = slices.DeleteFunc(own, func(node string) bool { return !v.takesStreams(node) })
	return own[:min(limit, len(own))]
}
