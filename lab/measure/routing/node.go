package routing

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/routing"
)

// node is one entry node, with its own view.
type node struct {
	index       int
	id          string
	hash        uint64
	incarnation int64
	state       nodeState
	view        *view
	inFlight    map[*request]struct{}
	traffic     traffic
}

type nodeState int

const (
	nodeUp nodeState = iota
	nodeFrozen
	nodeDown
)

func newNode(i int) *node {
	id := fmt.Sprintf("node-%03d", i)
	return &node{index: i, id: id, hash: routing.Hash(id), inFlight: make(map[*request]struct{})}
}

func (n *node) holder() cell.Holder { return cell.Holder{Node: n.id, Incarnation: n.incarnation} }

func (s *sim) pickNode() int {
	for {
		if i := s.rng.IntN(len(s.nodes)); s.nodes[i].state == nodeUp {
			return i
		}
	}
}

func sortedRequests(m map[*request]struct{}) []*request {
	out := make([]*request, 0, len(m))
	for r := range m {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return out
}

// traffic counts the control messages of a node, in both directions.
type traffic struct {
	messages int
	bytes    int
}

func (t *traffic) add(bytes int) {
	t.messages++
	t.bytes += bytes
}

// message counts one message that leaves a node and reaches another; within a
// node it costs nothing.
func (s *sim) message(from, to *node, bytes int) {
	if from == to || !s.measuring() {
		return
	}
	from.traffic.add(bytes)
	to.traffic.add(bytes)
}
