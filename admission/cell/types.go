package cell

import "time"

// Target is a target of the cell.
type Target struct {
	ID       string
	Capacity int // relative to other targets; at least 1
	Leaving  bool
	// Incarnation grows with each start of the target's process.
	Incarnation int64
}

// Config is what the pool's settings say. The zero value of an optional field
// means its default.
type Config struct {
	LoadFactor  float64 // c; the bound is ceil(c × mean × capacity)
	MaxInFlight int     // most requests a target of capacity 1 may run
	// NewFactor is the load factor that holds for chats without a known
	// prefix, so that room is left for chats that return. Optional.
	NewFactor float64
	// Reserve is the share of the pool's hard capacity (MaxInFlight × capacity)
	// kept from requests of the least urgency, and again from workspaces that
	// are over their fair share; negative means none. Optional.
	Reserve float64
	// Memory is the number of chats whose last target is remembered. Optional.
	Memory int
	// MaxPause is the longest time between two calls of Tick after which the
	// cell still trusts its counts. Optional.
	MaxPause time.Duration
}

// Defaults of the optional settings.
const (
	DefaultNewFactor = 1.0
	DefaultReserve   = 0.15
	DefaultMemory    = 1 << 15
	DefaultMaxPause  = 2 * time.Second
)

// Totals is the load of a set of targets.
type Totals struct {
	InFlight int
	Capacity int // sum over the targets that aren't leaving
}

// Holder names one run of a node; a node that restarts is another holder.
type Holder struct {
	Node        string
	Incarnation int64
}

// Ask asks for a place.
type Ask struct {
	Holder    Holder
	Request   string
	Chat      uint64
	Workspace string
	Weight    float64 // 0 means 1
	Urgency   int     // RFC 9218: 0 highest to 7 lowest
	Exclude   []string
	// Returning says that the chat has run before, as far as the caller knows.
	Returning bool
	// Last says that no other cell is left to ask. Since the means of other
	// cells are late, the cell with the least load then goes by its own mean
	// where that is higher, and refuses only at MaxInFlight.
	Last bool
}

// Outcome is the kind of a Verdict.
type Outcome int

// The outcomes of an Ask.
const (
	Granted Outcome = iota
	// Full means that no target of the cell is under its bound: ask the
	// owner of another cell.
	Full
	// Refused means that the caller is to be refused, whatever other cells say.
	Refused
)

// Reason says why a Verdict is not Granted.
type Reason int

// The reasons of a Verdict.
const (
	ReasonNone Reason = iota
	// ReasonSaturated means that the pool has no room for this urgency.
	ReasonSaturated
	// ReasonWorkspaceLimit means that the pool is nearly full and the
	// workspace uses more than its weighted share.
	ReasonWorkspaceLimit
	// ReasonNoTarget means that every target of the cell is gone, leaving or
	// excluded.
	ReasonNoTarget
	// ReasonRecovering means that the owner doesn't know enough of its
	// holders to count.
	ReasonRecovering
)

// String returns the metric label of the reason.
func (r Reason) String() string {
	switch r {
	case ReasonSaturated:
		return "saturated"
	case ReasonWorkspaceLimit:
		return "workspace_limit"
	case ReasonNoTarget:
		return "no_target"
	case ReasonRecovering:
		return "recovering"
	}
	return "none"
}

// Verdict answers an Ask.
type Verdict struct {
	Outcome    Outcome
	Target     string
	Reason     Reason
	RetryAfter time.Duration // set unless Granted
}

// Hold is one place that a holder says it has.
type Hold struct {
	Request   string
	Target    string
	Workspace string
	Chat      uint64

	ownRecord
}

// ownRecord is what a cell knows of a place that it granted itself.
type ownRecord struct {
	granted     bool
	trial       uint64 // number of the trial of a suspended target, or 0
	incarnation int64  // of the target
}
