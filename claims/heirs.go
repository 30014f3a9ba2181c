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
	// answerGroups is the number of groups that kept answers are spread over
	// when they are handed over. All nodes must agree on it.
	answerGroups = 64
	// maxHeirs is how many nodes, the first of a group's ranking, may have
	// inherited its answers: nodes that come, go or are silent shift the ranks.
	maxHeirs = 8
	// batchBytes bounds the answers of one call.
	batchBytes = 256 << 10
)

// answerGroup returns the group of a key. It is independent of its shard.
func answerGroup(k core.KeyID) int { return int(k[len(k)-1]) % answerGroups }

// ranking ranks nodes of a view.
type ranking struct {
	live   []membership.Node
	hashes []uint64
}

// newRanking ranks the nodes whose state is at most the given one:
// membership.Suspect for those that may take on duties, membership.Leaving for
// those that still serve.
func newRanking(v *membership.View, state membership.State) ranking {
	var r ranking
	for _, n := range v.Nodes {
		if n.State <= state {
			r.live = append(r.live, n)
			r.hashes = append(r.hashes, routing.Hash(n.ID))
		}
	}
	return r
}

// top returns the n first nodes for a duty by rendezvous hashing.
func (r ranking) top(duty string, n int) []membership.Node {
	var out []membership.Node
	for _, i := range routing.Top(nil, routing.Hash(duty), r.hashes, n) {
		out = append(out, r.live[i])
	}
	return out
}

// heirs returns the nodes other than self that inherit a group's answers, the
// preferred first.
func (r ranking) heirs(group int, self string) []membership.Node {
	nodes := r.top(fmt.Sprint("claims/answers/", group), maxHeirs)
	return slices.DeleteFunc(nodes, func(n membership.Node) bool { return n.ID == self })
}

// answerBatch is what is handed to an heir in one call.
type answerBatch struct {
	group   int
	answers []handedAnswer
	bytes   int
}

// batches splits answers by group and size, the answers with the most time
// left first.
func batches(now core.Instant, held []heldAnswer) []answerBatch {
	slices.SortFunc(held, func(a, b heldAnswer) int { return cmp.Compare(b.until, a.until) })
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
		b.answers = append(b.answers, newHandedAnswer(now, h))
	}
	for _, b := range open {
		if b.bytes > 0 {
			out = append(out, b)
		}
	}
	return out
}
