package cell

import "time"

// Target is one target of the cell.
type Target struct {
	ID       string
	Capacity int // relative to other targets; at least 1
	// Slots is the number of requests that the target processes at a time if Capacity isn't, else 0.
	// All nodes know the same number. The cell doesn't use it.
	Slots   int
	Leaving bool
	// Incarnation increases with each start of the target's process.
	Incarnation int64
	// Outside is the number of requests in progress that no holder has reported, for example
	// those of nodes that don't ask for places.
	Outside int
	// ColdUntil is the end of the target's warm-up, during which it gets at most ColdPerSecond
	// grants in any second; the zero value means that it is warm. Only a cell with a queue
	// applies the limit.
	ColdUntil     time.Time
	ColdPerSecond float64
	// Domain is the target's failure domain; see AcquireRequest.Domain.
	Domain string
}

// Config holds the pool's settings. The zero value of an optional field means its default.
type Config struct {
	LoadFactor  float64 // c; a target's bound is ceil(c × mean load × capacity)
	MaxInFlight int     // most requests in flight on a target of capacity 1
	// NewFactor is the load factor for chats without a known prefix (a cached beginning of the
	// conversation on a target). It is lower than LoadFactor, so that capacity is left for chats
	// that return to their prefix. Optional.
	NewFactor float64
	// Reserve is the share of the pool's hard capacity (MaxInFlight × capacity) that requests of
	// the lowest urgency may not use, and that workspaces over their fair share may not use
	// either; the two add up. Negative means none. Optional.
	Reserve float64
	// MaxChats is the number of chats whose last target is kept. Optional.
	MaxChats int
	// MaxPause is the longest time between two calls of Tick after which the cell still relies
	// on its counts. Optional.
	MaxPause time.Duration
	// Queue makes requests wait in the cell for a place, and makes MaxInFlight × capacity the only
	// limit on a target; see QueueConfig. Nil means that a request is granted or refused at once.
	Queue *QueueConfig
}

// QueueConfig configures the queue of a cell with few places.
type QueueConfig struct {
	// MinShare is the fraction of its fair share of the grants below which an urgency or a
	// workspace is served before others.
	MinShare float64
	// MaxWaiting is the maximum number of waiting requests. Beyond it, the last one in the order
	// is refused.
	MaxWaiting int
}

// DefaultQueueConfig returns the configuration for a service with few places. Each urgency and workspace keeps half of
// its fair share; MinShare is above that, since a request waits only if its urgency or workspace lacks a grant on its
// arrival.
func DefaultQueueConfig() QueueConfig {
	return QueueConfig{MinShare: 0.55, MaxWaiting: 1024}
}

// Defaults of the optional settings.
const (
	DefaultNewFactor = 1.0
	DefaultReserve   = 0.15
	DefaultMaxChats  = 1 << 15
	DefaultMaxPause  = 2 * time.Second
)

// Totals is the load of a set of targets.
type Totals struct {
	InFlight int
	Capacity int // sum over the targets that aren't leaving
}

// Holder identifies one run of a node that holds places. A node that restarts is another
// holder.
type Holder struct {
	Node        string
	Incarnation int64
}

// AcquireRequest is a request for a place: the right to run one request on a target of the cell.
type AcquireRequest struct {
	Holder    Holder
	Request   string
	Chat      uint64
	Workspace string
	Weight    float64 // 0 means 1
	Urgency   int     // RFC 9218: 0 highest to 7 lowest
	Exclude   []string
	// Returning is set if the chat has had an answer before, as far as the caller can tell.
	Returning bool
	// Last is set if no other cell is left to ask. The means of other cells arrive late, so the
	// last cell, usually the one with the least load, then uses its own mean where that is higher,
	// and refuses only at MaxInFlight.
	Last bool
	// Remaining is the time until the caller's deadline; 0 means no limit. Only a cell with a queue
	// uses it and the following field.
	Remaining time.Duration
	// Domain is the failure domain of the holder's node, which is preferred between equal targets.
	Domain string
}

// Outcome is the kind of a Decision.
type Outcome int

// Outcomes of an AcquireRequest.
const (
	Granted Outcome = iota
	// Full means that no target of the cell is under its bound: ask the owner of another cell.
	Full
	// Refused means that the request must be refused without asking other cells.
	Refused
	// Waiting means that the request is in the queue; Settle returns its decision later.
	Waiting
)

// Settled is the decision on a request that was waiting.
type Settled struct {
	Holder   Holder
	Request  string
	Decision Decision
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
}

// Reason is why a Decision is not Granted.
type Reason int

// Reasons of a Decision.
const (
	ReasonNone Reason = iota
	// ReasonSaturated means that the pool has no capacity left for this urgency.
	ReasonSaturated
	// ReasonWorkspaceLimit means that the pool is nearly full and the workspace uses more than
	// its weighted share.
	ReasonWorkspaceLimit
	// ReasonNoTarget means that every target of the cell is gone, leaving or excluded.
	ReasonNoTarget
	// ReasonRecovering means that, after a takeover, too few holders have reported their places
	// for the counts to be usable.
	ReasonRecovering
)

// String returns the reason's metric label.
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

// Decision is the answer to an AcquireRequest.
type Decision struct {
	Outcome    Outcome
	Target     string
	Reason     Reason
	RetryAfter time.Duration // set unless Granted or Waiting
}

// Place is one place as its holder reports it.
type Place struct {
	Request   string
	Target    string
	Workspace string
	Chat      uint64

	grantRecord
}

// grantRecord is what a cell stores about a place that it granted itself.
type grantRecord struct {
	granted     bool
	trial       uint64    // number of the trial request to a suspended target, or 0
	incarnation int64     // of the target when the place was granted
	grantedAt   time.Time // only in a cell with a queue
}
