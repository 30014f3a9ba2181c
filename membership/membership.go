// Package membership keeps the node's view of the other nodes of the fleet.
package membership

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/targets"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

// ServiceID is the kernel name of the service that implements Source.
const ServiceID kernel.ID = "membership.view"

// State is what this node believes of another.
type State int

// The states of a node, in the order in which one may override another within
// an incarnation.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// Node is one node of the fleet.
type Node struct {
	ID            string
	PeerAddr      string
	Region        string
	FailureDomain string
	Incarnation   int64
	State         State
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

// Members is a Source fed by the VM list.
type Members struct {
	self string
	view atomic.Pointer[View]
}

// New returns a Source that follows the VM list read by r.
func New(self Node, r *targets.Registry) *Members {
	m := &Members{self: self.ID}
	m.view.Store(&View{Self: self.ID, Nodes: []Node{self}})
	r.OnList(m.apply)
	return m
}

// ID implements kernel.Service.
func (m *Members) ID() kernel.ID { return ServiceID }

// View implements Source.
func (m *Members) View() *View { return m.view.Load() }

func (m *Members) apply(list vmlist.List) {
	v := &View{Self: m.self}
	for _, vm := range list.VMs {
		if vm.Role == vmlist.RoleNode {
			v.Nodes = append(v.Nodes, fromVM(vm))
		}
	}
	slices.SortFunc(v.Nodes, func(a, b Node) int { return strings.Compare(a.ID, b.ID) })
	m.view.Store(v)
}

func fromVM(vm vmlist.VM) Node {
	n := Node{
		ID: vm.ID, PeerAddr: vm.PeerAddr, Region: vm.Region,
		FailureDomain: vm.FailureDomain, Incarnation: vm.Incarnation,
	}
	if vm.State == vmlist.StateLeaving {
		n.State = Leaving
	}
	return n
}
