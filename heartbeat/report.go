package heartbeat

import (
	"github.com/knapweedgw/knapweedgw/affinity"
	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/quarantine"
)

// Report is what a node says of itself. Later reports replace earlier ones.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Node is the ip:port on which the node takes reports.
	Node string
	// Incarnation is when the node's process began, in Unix nanoseconds. It
	// only separates incarnations; a clock that jumped does no harm.
	Incarnation int64
	Sequence    uint64
	Leaving     bool
	// Brief reports tell of versions only; what the last one said of targets
	// stays.
	Brief bool
	// StoreLost says that the node can't reach the platform's store.
	StoreLost bool
	// Catalog is the version of the configuration in force there.
	Catalog int64
	// Revision is the store's revision up to which the node knows the targets.
	Revision int64
	// ConfirmedAge is how many milliseconds ago the node knew that Revision is
	// the store's newest, negative for never.
	ConfirmedAge int64
	Targets      []TargetReport
	// Uses are the prompt parts that the node sent to targets since its last
	// report and that the others may not know of. In the header of a GroupSum
	// they are those of the whole group.
	Uses []affinity.Use
	// Nodes are the nodes that the sender heard lately, in some reports only.
	Nodes []string
	// Requests are those under which targets ended, as far as they are to be told. They
	// follow the message, if there are any.
	Requests []quarantine.Record `cbor:"-"`
}

// TargetReport is what a node runs at a target and saw of it. Targets without
// anything to tell are left out.
type TargetReport struct {
	_ struct{} `cbor:",toarray"`
	// Target is the lower half of the hash of the target's run, or of a hash of a
	// service for the sums of its targets.
	Target  uint32
	Running uint16
	// Answered and Failed are the outcomes within the health window.
	Answered, Failed uint16
	Unreachable      bool
}

// sum returns the report of one node as a sum over nodes.
func (t TargetReport) sum() Sum {
	s := Sum{Running: int(t.Running), Counts: health.Counts{Answered: int(t.Answered), Failed: int(t.Failed)}}
	if t.Unreachable {
		s.Unreachable = 1
	}
	return s
}

// Sum is what several nodes together say of a target.
type Sum struct {
	Running     int
	Counts      health.Counts
	Unreachable int // number of nodes that can't connect to it
}

// sums adds up by target. Targets of which nothing is left to tell are removed.
type sums map[uint32]Sum

// add adds sign times s.
func (m sums) add(target uint32, s Sum, sign int) {
	t := m[target]
	t.Running += sign * s.Running
	t.Counts.Answered += sign * s.Counts.Answered
	t.Counts.Failed += sign * s.Counts.Failed
	t.Unreachable += sign * s.Unreachable
	if t == (Sum{}) {
		delete(m, target)
		return
	}
	m[target] = t
}

func (m sums) addReports(targets []TargetReport, sign int) {
	for _, t := range targets {
		m.add(t.Target, t.sum(), sign)
	}
}

func (m sums) addCounts(counts []targetSum, sign int) {
	for _, c := range counts {
		m.add(c.target, c.Sum, sign)
	}
}
