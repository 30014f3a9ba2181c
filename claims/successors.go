package claims

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/routing"
)

const (
	// answerGroups is the number of groups that kept answers are spread over when they
	// are handed over. It must be the same on all nodes.
	answerGroups = 64
	// maxSuccessors is the number of nodes, from the start of a group's ranking, that
	// may have inherited its answers. It is more than one because the first node need
	// not be the one that inherited them: nodes join, leave or don't reply.
	maxSuccessors = 8
	// batchBytes is the maximum size of the answers in one call.
	batchBytes = 256 << 10
)

// answerGroup returns the group of a key. It is independent of the key's shard.
func answerGroup(k core.KeyID) int { return int(k[len(k)-1]) % answerGroups }

// ranking ranks nodes by rendezvous hashing.
type ranking struct {
	nodes  []membership.Node
	hashes []uint64
}

// newRanking returns a ranking of the nodes whose state is at most the given one:
// membership.Suspect for nodes that may own shards and inherit answers,
// membership.Leaving for all nodes that still serve calls.
func newRanking(v *membership.View, state membership.State) ranking {
	var r ranking
	for _, n := range v.Nodes {
		if n.State <= state {
			r.nodes = append(r.nodes, n)
			r.hashes = append(r.hashes, routing.Hash(n.ID))
		}
	}
	return r
}

// top returns the n first nodes for a role, which is the key of the rendezvous hashing.
func (r ranking) top(role string, n int) []membership.Node {
	var out []membership.Node
	for _, i := range routing.Top(nil, routing.Hash(role), r.hashes, n) {
		out = append(out, r.nodes[i])
	}
	return out
}

// successors returns the nodes other than self that inherit a group's answers, in order of
// preference.
func (r ranking) successors(group int, self string) []membership.Node {
	nodes := r.top(fmt.Sprint("claims/answers/", group), maxSuccessors)
	return slices.DeleteFunc(nodes, func(n membership.Node) bool { return n.ID == self })
}

// answerBatch holds the answers that are handed to a successor in one call.
type answerBatch struct {
	group   int
	answers []handedOverAnswer
	bytes   int
}

// splitIntoBatches splits answers by group and size. The answers that expire last come
// first.
func splitIntoBatches(now core.Instant, held []heldAnswer) []answerBatch {
	slices.SortFunc(held, func(a, b heldAnswer) int { return cmp.Compare(b.expiresAt, a.expiresAt) })
	var out []answerBatch
	var open [answerGroups]answerBatch
	for _, h := range held {
		group := answerGroup(h.key)
		b := &open[group]
		if b.bytes > 0 && b.bytes+h.size() > batchBytes {
			out = append(out, *b)
			*b = answerBatch{}
		}
		b.group = group
		b.bytes += h.size()
		b.answers = append(b.answers, newHandedOverAnswer(now, h))
	}
	for _, b := range open {
		if b.bytes > 0 {
			out = append(out, b)
		}
	}
	return out
}
