// Package membership keeps the node's view of the other nodes of the fleet.
//
// Nodes of a region detect failures with a SWIM protocol: each probes one other node a
// second, asks a few others to probe it as well before it suspects it, and gives the
// suspect time to refute before it declares it dead. Changes are sent along with these
// messages and by gossip. So the cost per node does not grow with the number of nodes,
// and the time until all nodes have received a change grows logarithmically. Nodes of
// other regions are known from the VM list alone.
//
// Machine implements the protocol without I/O; the time and the random source are
// passed in. Members is the service that runs it.
package membership

import (
	"slices"
	"strings"

	"github.com/knapweedgw/knapweedgw/kernel"
)

// ServiceID is the kernel name of the service that implements Source.
const ServiceID kernel.ID = "membership.view"

// State is the state of a node as recorded by another node.
type State int

// The states of a node. Within an incarnation a later state overrides an earlier one,
// until the node refutes it.
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
	Region        string `json:"-"` // not sent, since only nodes of the same region exchange records
	FailureDomain string `json:"d"`
	// Incarnation identifies a start of the node and is greater at each later start. It
	// stays the same while the node runs, unless an earlier start on a VM with a later
	// clock had a greater one.
	Incarnation int64 `json:"n"`
	// Refutations counts the records that the node refuted in this incarnation.
	Refutations int64 `json:"r,omitempty"`
	State       State `json:"s,omitempty"`
}

// Supersedes returns whether n overrides b, a record of the same node: the greater
// incarnation does, then the greater number of refutations, then the later state.
func (n Node) Supersedes(b Node) bool {
	if n.Incarnation != b.Incarnation {
		return n.Incarnation > b.Incarnation
	}
	if n.Refutations != b.Refutations {
		return n.Refutations > b.Refutations
	}
	return n.State > b.State
}

// View is an immutable set of node records, ordered by ID, including this node's. Self
// is this node's ID.
type View struct {
	Self  string
	Nodes []Node
}

// Source returns the current view. View never blocks and never returns nil.
type Source interface{ View() *View }

// Node returns the node with the given ID.
func (v *View) Node(id string) (Node, bool) {
	i, ok := slices.BinarySearchFunc(v.Nodes, id, func(n Node, id string) int { return strings.Compare(n.ID, id) })
	if !ok {
		return Node{}, false
	}
	return v.Nodes[i], true
}

// LimitShares returns among how many nodes a fleet-wide limit is divided of which each node uses an equal part
// without asking the others: all nodes of the view. It is 0 if this node is to use no part, since it seems to be cut
// off: most of the nodes that don't leave aren't alive in its view.
func (v *View) LimitShares() int {
	staying, alive := 0, 0
	for _, n := range v.Nodes {
		if n.State != Leaving {
			staying++
		}
		if n.State == Alive {
			alive++
		}
	}
	if 2*alive <= staying {
		return 0
	}
	return len(v.Nodes)
}

// Eligible returns the nodes of a region to which duties may be assigned: those that are
// alive or suspect, not those that are leaving or dead.
func (v *View) Eligible(region string) []Node {
	var out []Node
	for _, n := range v.Nodes {
		if n.Region == region && n.State <= Suspect {
			out = append(out, n)
		}
	}
	return out
}
