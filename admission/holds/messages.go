// Package holds keeps count of who holds which place on a target: the owner's
// record of one cell, and the table of a node's own places. It also defines
// the messages that keep the two equal. The package does no I/O and reads no
// clock; lost, repeated and late messages leave the record correct.
package holds

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/admission/cell"
)

// Key names a cell of a pool's targets in one region. Region stays off the
// wire: a node only owns cells of its own region.
type Key struct {
	Pool   string `json:"p"`
	Region string `json:"-"`
	Cell   int    `json:"c,omitempty"`
	Of     int    `json:"o"` // number of cells; two nodes that differ don't share counts
}

// From names one run of the sending node.
type From struct {
	Node        string `json:"n"`
	Incarnation int64  `json:"i"`
}

// Holder returns the sender as the cell knows it.
func (f From) Holder() cell.Holder { return cell.Holder(f) }

// Code is the outcome of an Acquire.
type Code int

// The outcomes of an Acquire.
const (
	Granted Code = iota
	Full
	Refused
	// NotOwner means that the answering node's view has another owner.
	NotOwner
	// Stale means that the asking node had given this ask up before it came.
	Stale
)

// Acquire asks a cell's owner for a place.
type Acquire struct {
	From
	Key
	Seq       uint64   `json:"q"`
	Chat      uint64   `json:"h"`
	Workspace string   `json:"w"`
	Weight    float64  `json:"g,omitempty"` // 0 means 1
	Urgency   int      `json:"u"`
	Exclude   []string `json:"x,omitempty"`
	Returning bool     `json:"y,omitempty"`
	// Last says that no other cell is left to ask.
	Last bool `json:"b,omitempty"`
	// Left are nodes that the asking node knows to hand their cells over.
	Left []From `json:"z,omitempty"`
}

// Reply answers an Acquire.
type Reply struct {
	Code         Code        `json:"k,omitempty"`
	Reason       cell.Reason `json:"s,omitempty"`
	Target       string      `json:"t,omitempty"`
	RetryAfterMS int64       `json:"a,omitempty"`
	// Owner is the owner in the view of the answering node (NotOwner).
	Owner string `json:"o,omitempty"`
	// Leaving means that the answering node hands its cells over.
	Leaving bool `json:"l,omitempty"`
	// Least is 1 + the cell that had the least load, or 0 (Full).
	Least int `json:"m,omitempty"`
}

// Released lists ended places of one cell.
type Released struct {
	Key
	Seqs Seqs `json:"q"`
	// Failed, Unknown and Overloaded are those of Seqs that their target didn't
	// answer; see cell.Result.
	Failed     Seqs `json:"f,omitempty"`
	Unknown    Seqs `json:"v,omitempty"`
	Overloaded Seqs `json:"z,omitempty"`
}

// Add appends an ended place.
func (r *Released) Add(seq uint64, result cell.Result) {
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

// Sort puts the numbers in the order that their encoding needs.
func (r *Released) Sort() {
	slices.Sort(r.Seqs)
	slices.Sort(r.Failed)
	slices.Sort(r.Unknown)
	slices.Sort(r.Overloaded)
}

// result returns how a place of Seqs ended.
func (r *Released) result(seq uint64) cell.Result {
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

// Release tells an owner of ended places.
type Release struct {
	From
	Cells []Released `json:"e"`
}

// Detail describes one place.
type Detail struct {
	Seq       uint64 `json:"q"`
	Target    string `json:"t"`
	Workspace string `json:"w"`
	Chat      uint64 `json:"h"`
}

// Resync is all that a node holds of one cell at sequence number At.
type Resync struct {
	From
	Key
	At uint64 `json:"s"`
	// Held are the places that the owner should already know.
	Held Seqs `json:"q,omitempty"`
	// Pending are asks that have no answer yet.
	Pending Seqs `json:"w,omitempty"`
	// Details are the places that the owner may not know.
	Details []Detail `json:"d,omitempty"`
	// Recent says where chats ran of late; only in answer to a Pull.
	Recent []cell.Recent `json:"r,omitempty"`
}

// ResyncReply names the places of Resync.Held that the owner doesn't know.
type ResyncReply struct {
	NotOwner bool `json:"o,omitempty"`
	Missing  Seqs `json:"m,omitempty"`
}

// Pull asks a node for its places of a cell.
type Pull struct {
	From
	Key
}

// CellTotals is the load of one cell.
type CellTotals struct {
	Key
	InFlight int `json:"f"`
	Capacity int `json:"a"`
}

// Totals tells the owners of a pool's other cells the load of some cells.
type Totals struct {
	From
	Seq   uint64       `json:"s"`
	Cells []CellTotals `json:"e"`
}

// Seqs is an ascending list of sequence numbers; on the wire each is the
// difference from the one before.
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
