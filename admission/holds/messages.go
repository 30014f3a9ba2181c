// Package holds keeps the record of which node holds which places on the targets of a cell.
// A place is the right to run one request on a target. The package has the record of a cell
// at its owner (Owner), the table of the places that a node holds itself (Table), and the
// messages by which the owner's record follows the nodes' tables. It does no I/O and reads
// no clock. Lost, repeated and late messages leave the record correct.
package holds

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/admission/cell"
)

// CellKey identifies a cell of a pool's targets in one region. Region isn't sent to other nodes,
// since a node only owns cells of its own region.
type CellKey struct {
	Pool   string `json:"p"`
	Region string `json:"-"`
	Cell   int    `json:"c,omitempty"`
	Of     int    `json:"o"` // number of cells in the pool; nodes with different numbers don't share counts
}

// From identifies the run of the node that sends a message.
type From struct {
	Node        string `json:"n"`
	Incarnation int64  `json:"i"`
}

// Holder returns the sender as package cell names it.
func (f From) Holder() cell.Holder { return cell.Holder(f) }

// Code is the outcome of an Acquire.
type Code int

// Outcomes of an Acquire.
const (
	Granted Code = iota
	Full
	Refused
	// NotOwner means that the cell has another owner in the answering node's view.
	NotOwner
	// Stale means that the asking node had canceled this ask before it arrived.
	Stale
	// Waiting means that the request is in the owner's queue; the node repeats the ask with the
	// same sequence number, which keeps its position.
	Waiting
)

// Acquire asks a cell's owner for a place.
type Acquire struct {
	From
	CellKey
	Seq       uint64   `json:"q"`
	Chat      uint64   `json:"h"`
	Workspace string   `json:"w"`
	Weight    float64  `json:"g,omitempty"` // 0 means 1
	Urgency   int      `json:"u"`
	Exclude   []string `json:"x,omitempty"`
	Returning bool     `json:"y,omitempty"`
	// Last is set if no other cell is left to ask.
	Last bool `json:"b,omitempty"`
	// LeavingNodes are the nodes that, as far as the sender has learned, hand their cells over
	// to other owners.
	LeavingNodes []From `json:"z,omitempty"`
	// RemainingMS is milliseconds from the sending of this message, also when it repeats an ask;
	// see cell.AcquireRequest. A negative time has passed.
	RemainingMS int64  `json:"rm,omitempty"`
	Domain      string `json:"d,omitempty"`
	// Ended lists places of the sender that have ended since its last message.
	Ended []EndedPlaces `json:"e,omitempty"`
	// Rivals are other nodes that claim to own the cell, and Suspects those that the sender can't
	// reach.
	Rivals   []From   `json:"rv,omitempty"`
	Suspects []string `json:"su,omitempty"`
}

// Reply is the answer to an Acquire.
type Reply struct {
	Code         Code        `json:"k,omitempty"`
	Reason       cell.Reason `json:"s,omitempty"`
	Target       string      `json:"t,omitempty"`
	RetryAfterMS int64       `json:"a,omitempty"`
	// Owner is the cell's owner in the answering node's view. It is set with NotOwner.
	Owner string `json:"o,omitempty"`
	// Leaving means that the answering node hands its cells over to other owners.
	Leaving bool `json:"l,omitempty"`
	// Least is 1 + the index of the pool's other cell with the least load, or 0 if none is
	// known. It is set with Full.
	Least int `json:"m,omitempty"`
	// WaitedMS is the time that a request waited in the owner's queue, in milliseconds.
	WaitedMS int64 `json:"wt,omitempty"`
}

// Settled is the reply to an ask that was waiting.
type Settled struct {
	Holder cell.Holder
	Seq    uint64
	Reply  Reply
}

// EndedPlaces lists ended places of one cell.
type EndedPlaces struct {
	CellKey
	Seqs Seqs `json:"q"`
	// Failed, Unknown and Overloaded are the subsets of Seqs with these results; see
	// cell.Result. All other places of Seqs ended with cell.Answered.
	Failed     Seqs `json:"f,omitempty"`
	Unknown    Seqs `json:"v,omitempty"`
	Overloaded Seqs `json:"z,omitempty"`
}

// Add appends an ended place.
func (r *EndedPlaces) Add(seq uint64, result cell.Result) {
	r.Seqs = append(r.Seqs, seq)
	switch result {
	case cell.Failed:
		r.Failed = append(r.Failed, seq)
	case cell.Unknown:
		r.Unknown = append(r.Unknown, seq)
	case cell.Overloaded:
		r.Overloaded = append(r.Overloaded, seq)
	}
}

// Sort sorts the sequence numbers, as their encoding requires.
func (r *EndedPlaces) Sort() {
	slices.Sort(r.Seqs)
	slices.Sort(r.Failed)
	slices.Sort(r.Unknown)
	slices.Sort(r.Overloaded)
}

// result returns the result of a place of Seqs.
func (r *EndedPlaces) result(seq uint64) cell.Result {
	if _, ok := slices.BinarySearch(r.Failed, seq); ok {
		return cell.Failed
	}
	if _, ok := slices.BinarySearch(r.Unknown, seq); ok {
		return cell.Unknown
	}
	if _, ok := slices.BinarySearch(r.Overloaded, seq); ok {
		return cell.Overloaded
	}
	return cell.Answered
}

// Release reports ended places to an owner.
type Release struct {
	From
	Cells []EndedPlaces `json:"e"`
}

// Place describes one place.
type Place struct {
	Seq       uint64 `json:"q"`
	Target    string `json:"t"`
	Workspace string `json:"w"`
	Chat      uint64 `json:"h"`
}

// Resync lists all places that a node holds in one cell at sequence number At.
type Resync struct {
	From
	CellKey
	At uint64 `json:"s"`
	// Held are the places that the owner should already have recorded.
	Held Seqs `json:"q,omitempty"`
	// Pending are the asks that have no answer yet.
	Pending Seqs `json:"w,omitempty"`
	// Details are the places that the owner may not have recorded.
	Details []Place `json:"d,omitempty"`
	// Recent lists the targets on which chats ran recently. It is set only in the answer to a
	// Pull.
	Recent []cell.RecentChat `json:"r,omitempty"`
}

// ResyncReply is the answer to a Resync. Missing are the places of Resync.Held that the
// owner hasn't recorded.
type ResyncReply struct {
	NotOwner bool `json:"o,omitempty"`
	Missing  Seqs `json:"m,omitempty"`
}

// Pull asks a node for the places that it holds in a cell.
type Pull struct {
	From
	CellKey
}

// CellTotals is the load of one cell.
type CellTotals struct {
	CellKey
	InFlight int `json:"f"`
	Capacity int `json:"a"`
}

// Totals announces the load of some of a pool's cells to the owners of its other cells.
type Totals struct {
	From
	Seq   uint64       `json:"s"`
	Cells []CellTotals `json:"e"`
}

// Seqs is an ascending list of sequence numbers. It is encoded as the differences between
// successive numbers.
type Seqs []uint64

// MarshalJSON implements json.Marshaler.
func (s Seqs) MarshalJSON() ([]byte, error) {
	deltas := make([]uint64, len(s))
	last := uint64(0)
	for i, q := range s {
		deltas[i] = q - last
		last = q
	}
	return json.Marshal(deltas)
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Seqs) UnmarshalJSON(raw []byte) error {
	var deltas []uint64
	if err := json.Unmarshal(raw, &deltas); err != nil {
		return errors.Wrap(err, "holds: sequence numbers")
	}
	last := uint64(0)
	for i, d := range deltas {
		last += d
		deltas[i] = last
	}
	*s = deltas
	return nil
}
