package heartbeat

import (
	"slices"

	"github.com/knapweedgw/knapweedgw/affinity"
	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/routing"
	"github.com/knapweedgw/knapweedgw/store"
)

// Report is a node's report about itself. A later report replaces an earlier one.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Node is the ip:port at which the node receives datagrams.
	Node string
	// Incarnation is the start time of the node's process in Unix nanoseconds. It only
	// distinguishes incarnations, so a clock that jumps does no harm.
	Incarnation int64
	// Sequence is a sequence number in its lower bits and the era of Revision in the upper ones, see
	// sequenceOf. Releases that don't know eras only compare sequence numbers.
	Sequence uint64
	Leaving  bool
	// Brief marks a report of versions only; the targets of the previous report remain in
	// force.
	Brief bool
	// StoreUnreachable reports whether the node can't reach the platform's store.
	StoreUnreachable bool
	// Catalog is the version of the configuration in force on the node.
	Catalog int64
	// Revision is the store's revision of the node's list of targets, in the era of Position.
	Revision int64
	// ConfirmedAge is the time in milliseconds since the node confirmed that Revision is the
	// store's newest, negative if it never has.
	ConfirmedAge int64
	Targets      []TargetReport
	// Uses are the prompt parts that the node sent to targets since its last report and that
	// the other nodes may not have yet. In the header of a GroupSum they are those of the whole
	// group.
	Uses []affinity.Use
	// Nodes are addresses of nodes that the sender heard from lately. Only some reports list
	// them.
	Nodes []string
	// Requests are records of requests during which targets ended. They are encoded after the
	// message, and only if there are any.
	Requests []quarantine.Record `cbor:"-"`
	// SharesStreams means that the node takes records of streams. Streams are packed records of streams
	// that began at the sender (package resumption), encoded after the requests; they are sent only to
	// nodes of the sender's group that take them.
	SharesStreams bool   `cbor:"-"`
	Streams       []byte `cbor:"-"`
}

// sequenceBits is the number of bits of Report.Sequence that count reports: enough for a thousand in a second for
// centuries.
const sequenceBits = 44

// sequenceOf returns the Sequence of the nth report, made in the given era. The era of a node's copy never
// decreases, so neither does its Sequence.
func sequenceOf(n uint64, era int64) uint64 { return uint64(era)<<sequenceBits | n }

// SetPosition sets the position of the node's copy, see store.Position.
func (r *Report) SetPosition(position int64) {
	r.Revision, r.Sequence = store.RevisionOf(position), sequenceOf(0, store.EraOf(position))
}

// Position returns the position of the node's copy. A release that doesn't know eras reports one in era 0.
func (r Report) Position() int64 { return store.Position(int64(r.Sequence>>sequenceBits), r.Revision) }

// sharesStreamsKey is the key, among the targets of a report, of the statement that the node takes records
// of streams. Releases without it add it up like a target's and pass it on.
var sharesStreamsKey = uint32(routing.Hash("shares streams"))

// withStatements returns the report as it is encoded, with SharesStreams among the targets.
func (r Report) withStatements() Report {
	if r.SharesStreams {
		r.Targets = append(slices.Clip(r.Targets), TargetReport{Target: sharesStreamsKey, Running: 1})
	}
	return r
}

// takeStatements is the reverse of withStatements.
func (r *Report) takeStatements() {
	isStatement := func(t TargetReport) bool { return t.Target == sharesStreamsKey }
	r.SharesStreams = slices.ContainsFunc(r.Targets, isStatement)
	if r.SharesStreams {
		r.Targets = slices.DeleteFunc(r.Targets, isStatement)
	}
}

// TargetReport is a node's load on a target and its observations of it. Targets without any are
// omitted.
type TargetReport struct {
	_ struct{} `cbor:",toarray"`
	// Target is the lower half of the hash of the target's incarnation, or of a hash of a
	// service for the sums over its targets.
	Target  uint32
	Running uint16
	// Answered and Failed count the outcomes within the health window.
	Answered, Failed uint16
	Unreachable      bool
}

// sum converts the report of one node to a Sum.
func (t TargetReport) sum() Sum {
	s := Sum{Running: int(t.Running), Counts: health.Counts{Answered: int(t.Answered), Failed: int(t.Failed)}}
	if t.Unreachable {
		s.Unreachable = 1
	}
	return s
}

// Sum is the sum of several nodes' reports about a target.
type Sum struct {
	Running     int
	Counts      health.Counts
	Unreachable int // number of nodes that can't connect to it
}

// sums holds sums by target. Entries that become zero are removed.
type sums map[uint32]Sum

// add adds s if sign is 1 and subtracts it if sign is -1.
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
