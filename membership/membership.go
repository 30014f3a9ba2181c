// Package membership keeps the node's view of the other nodes of the fleet.
//
// Nodes of a region watch each other by a SWIM protocol: each probes one other
// a second, asks a few to probe for it before it suspects, and lets the suspect
// refute before it is declared dead; news travels with those messages and by
// gossip. So the cost a node is flat, and the time to everyone grows as a
// logarithm. Nodes of other regions are known from the VM list alone.
//
// Machine is the protocol: pure, with the time and the random source passed
// in. Members is the service around it.
package membership

import (
	"slices"
	"strings"

	"github.com/knapweedgw/knapweedgw/kernel"
)

// ServiceID is the kernel name of the service that implements Source.
const ServiceID kernel.ID = "membership.view"

// State is what this node believes of another.
type State int

// The states of a node, in the order in which one may override another until
// the node refutes it.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "dead"
	}
}

// Node is one node of the fleet.
type Node struct {
	ID            string `json:"i"`
	PeerAddr      string `json:"a"`
	Region        string `json:"-"` // only nodes of one region exchange nodes
	FailureDomain string `json:"d"`
	// Incarnation identifies this start of the node and is greater at the
	// next. It stays the same while the node runs, unless an older start on a
	// VM with a later clock had a greater one.
	Incarnation int64 `json:"n"`
	// Refuted counts what the node refuted in this incarnation.
	Refuted int64 `json:"r,omitempty"`
	State   State `json:"s,omitempty"`
}

// Supersedes says whether n overrides b, a record of the same node: the newer
// incarnation does, then the later refutation, then the later state.
func (n Node) Supersedes(b Node) bool {
	if n.Incarnation != b.Incarnation {
		return n.Incarnation > b.Incarnation
	}
	if n.Refuted != b.Refuted {
		return n.Refuted > b.Refuted
	}
	return n.State > b.State
}

// View is an immutable set of nodes, ordered by ID. It includes this node.
type View struct {
	Self  string
	Nodes []Node
}

// Source gives the current view. View never blocks and never returns nil.
type Source interface{ View() *View }

// Node returns the node with the given ID.
func (v *View) Node(id string) (Node, bool) {
	i, ok := slices.BinarySearchFunc(v.Nodes, id, func(n Node, id string) int { return strings.Compare(n.ID, id) })
	if !ok {
		return Node{}, false
	}
	return v.Nodes[i], true
}

// Duty returns the nodes of a region that may hold a duty: those alive or
// suspect, but not leaving or dead.
func (v *View) Duty(region string) []Node {
	var out []Node
	for _, n := range v.Nodes {
		if n.Region == region && n.State <= Suspect {
			out = append(out, n)
		}
	}
	return out
}
