// Package lease lets one node at a time hold a duty, a named role that must have a single holder.
// The duty is a key in the platform's store that is bound to a store lease; the revision that
// created the key is the fencing number of the term, or a greater number in its record: a store that was restored from
// a snapshot gives out its revisions again.
//
// Machine decides and does no I/O; Keeper runs it against a store.Store.
package lease

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

// Prefix precedes the name of a duty in its store key.
const Prefix = "/knapweedgw/duties/"

// Key returns the store key of a duty.
func Key(duty string) string { return Prefix + duty }

// Config holds the durations of a term.
type Config struct {
	// TTL is how long after its last renewal the store expires the lease.
	TTL time.Duration
	// Margin is how much earlier than the store the holder treats its lease as expired. It covers
	// clocks whose rates differ by up to Margin/(TTL-Margin).
	Margin time.Duration
	// RenewEvery is the time between the starts of two renewals, and between two reads of the key
	// of a duty that another node holds.
	RenewEvery time.Duration
	// Retry is the delay before a failed call is repeated.
	Retry time.Duration
}

// DefaultTTL lets another node take over within about 20 s.
const DefaultTTL = 15 * time.Second

// DefaultConfig returns ConfigFor(DefaultTTL).
func DefaultConfig() Config { return ConfigFor(DefaultTTL) }

// ConfigFor returns durations in proportion to a TTL. They tolerate clock rates that differ by up
// to 11% and two failed renewals.
func ConfigFor(ttl time.Duration) Config {
	return Config{TTL: ttl, Margin: ttl / 10, RenewEvery: ttl / 3, Retry: ttl * 2 / 15}
}

// Validate returns an error for the first invalid duration, with a remedy.
func (c Config) Validate() error {
	switch {
	case c.Margin <= 0 || c.Margin >= c.TTL:
		return errors.New("lease: margin is not between 0 and the TTL: use a tenth of the TTL")
	case c.RenewEvery <= 0 || c.RenewEvery >= c.TTL-c.Margin:
		return errors.New("lease: renewal interval is not between 0 and the TTL minus the margin: use a third of the TTL")
	case c.Retry <= 0:
		return errors.New("lease: retry delay is not positive: use 2s")
	}
	return nil
}

// Call is an operation that the Machine requests.
type Call int

// The calls of an Action.
const (
	// CallNone means wait until Action.At.
	CallNone Call = iota
	// CallProbe reads the duty's key to find out whether the duty is free.
	CallProbe
	// CallGrant creates a store lease.
	CallGrant
	// CallCreate creates the duty's key, bound to the lease.
	CallCreate
	// CallReadBack reads the key to find out whether a creation with an uncertain outcome took
	// effect.
	CallReadBack
	// CallRenew renews the store lease.
	CallRenew
	// CallRevoke revokes the store lease.
	CallRevoke
)

var callNames = [...]string{"none", "probe", "grant", "create", "read_back", "renew", "revoke"}

// String returns the value of the call's metric label.
func (c Call) String() string { return callNames[c] }

// Action is the machine's next step.
type Action struct {
	Call    Call
	At      time.Time // for CallNone
	Lease   store.LeaseID
	WriteID string
	// Fence is the least fencing number of the term that CallCreate begins, 0 for any.
	Fence int64
}

// Result is the outcome of an Action. Sent and Done are the holder's clock
// before and after the call.
type Result struct {
	Action   Action
	Sent     time.Time
	Done     time.Time
	Err      error
	Lease    store.LeaseID // of CallGrant
	Created  bool          // of CallCreate
	Revision int64         // of CallCreate
	Found    bool          // of CallProbe and CallReadBack
	Record   Record        // of CallProbe and CallReadBack
}

// Record is the value of a duty's key and the revision that wrote it.
type Record struct {
	Holder  string `json:"holder"`
	WriteID string `json:"write_id"`
	// MinFence is the least fencing number of the term, 0 for any. Earlier releases ignore it.
	MinFence int64 `json:"min_fence,omitempty"`
	Revision int64 `json:"-"`
}

// Fence returns the fencing number of the term that the record began.
func (r Record) Fence() int64 { return max(r.Revision, r.MinFence) }

// Term is one uninterrupted period of holding a duty.
type Term struct {
	// Fence is the fencing number. Later terms have greater numbers than the earlier ones that their holder knows
	// of. While the store isn't restored from a snapshot these are all, also across duties, because it is a
	// revision of the store.
	Fence int64
	// ValidUntil is when the holder treats the term as expired, on its own clock.
	ValidUntil time.Time
}

// Loss is the reason for which a term ended.
type Loss string

// The reasons for which a term ends.
const (
	LossNone     Loss = ""
	LossLapsed   Loss = "lapsed"    // expired: no renewal succeeded in time
	LossNotFound Loss = "not_found" // the store had expired or revoked the lease
	LossFenced   Loss = "fenced"    // a newer fencing number was seen
	LossReleased Loss = "released"  // the holder released the duty
)

type phase int

const (
	phaseIdle phase = iota
	phaseGrant
	phaseCreate
	phaseReadBack
	phaseHeld
	phaseRevoke
	phaseStopped
)

// Machine is the state machine of one candidate for a duty. It isn't safe for concurrent use.
// Exactly one Observe follows each Next that returns a call.
type Machine struct {
	cfg        Config
	newWriteID func() string

	phase          phase
	notBefore      time.Time // no action is due earlier
	lease          store.LeaseID
	currentWriteID string
	// fence is the fencing number of the last term, revision the store's revision that created its key.
	fence, revision int64
	// seenFence is the greatest fencing number that is known.
	seenFence int64
	renewedAt time.Time // send time of the last renewal that succeeded
	stopping  bool
	loss      Loss
	holder    string // holder of the duty when it was last read
}

// NewMachine returns a candidate that doesn't hold the duty. newWriteID must return a new unique ID
// at each call.
func NewMachine(cfg Config, newWriteID func() string) *Machine {
	return &Machine{cfg: cfg, newWriteID: newWriteID}
}

// Held returns the current term. ok is false if there is none, or once at least TTL minus Margin
// has elapsed since the last successful renewal was sent.
func (m *Machine) Held(now time.Time) (t Term, ok bool) {
	if m.phase != phaseHeld || elapsed(m.renewedAt, now) >= m.cfg.TTL-m.cfg.Margin {
		return Term{}, false
	}
	return Term{Fence: m.fence, ValidUntil: m.renewedAt.Add(m.cfg.TTL - m.cfg.Margin)}, true
}

// revisionOf returns the store's revision that created the key of the term with the fencing number.
func (m *Machine) revisionOf(fence int64) int64 {
	if fence == m.fence {
		return m.revision
	}
	return fence
}

// Holder returns the holder of the duty when it was last read.
func (m *Machine) Holder() string { return m.holder }

// LastLoss returns why the last term ended; LossNone while a term is held or before the first
// one.
func (m *Machine) LastLoss() Loss { return m.loss }

// Next returns the action to perform at the given time.
func (m *Machine) Next(now time.Time) Action {
	if m.phase == phaseHeld && !m.isHeld(now) {
		m.lose(LossLapsed)
	}
	if m.phase == phaseStopped || now.Before(m.notBefore) {
		return Action{Call: CallNone, At: m.notBefore}
	}
	switch m.phase {
	case phaseIdle:
		return m.nextIdle()
	case phaseGrant:
		return Action{Call: CallGrant}
	case phaseCreate:
		return Action{Call: CallCreate, Lease: m.lease, WriteID: m.currentWriteID, Fence: m.minFence()}
	case phaseReadBack:
		return Action{Call: CallReadBack, WriteID: m.currentWriteID}
	case phaseHeld:
		return Action{Call: CallRenew, Lease: m.lease}
	default:
		return Action{Call: CallRevoke, Lease: m.lease}
	}
}

func (m *Machine) nextIdle() Action {
	if m.stopping {
		m.phase = phaseStopped
		return Action{Call: CallNone}
	}
	return Action{Call: CallProbe}
}

// isHeld reports whether the term has not expired.
func (m *Machine) isHeld(now time.Time) bool {
	_, ok := m.Held(now)
	return ok
}

// minFence returns the least fencing number of the next term, 0 if none is known.
func (m *Machine) minFence() int64 {
	if m.seenFence == 0 {
		return 0
	}
	return m.seenFence + 1
}

// Invalidate ends the term because a newer fencing number was seen. Later terms have greater numbers.
func (m *Machine) Invalidate(seen int64) {
	m.seenFence = max(m.seenFence, seen)
	if m.phase == phaseHeld {
		m.lose(LossFenced)
	}
}

// Release ends the term, if any, and makes the machine stop once its lease is revoked.
func (m *Machine) Release() {
	m.stopping = true
	m.notBefore = time.Time{}
	switch m.phase {
	case phaseHeld:
		m.lose(LossReleased)
	case phaseCreate, phaseReadBack:
		m.phase = phaseRevoke
	case phaseIdle, phaseGrant:
		m.phase = phaseStopped
	}
}

// Stopped reports whether the machine has released the duty and performs no more calls.
func (m *Machine) Stopped() bool { return m.phase == phaseStopped }

func (m *Machine) lose(reason Loss) {
	m.loss = reason
	m.phase = phaseRevoke
	m.notBefore = time.Time{}
}

// elapsed returns the larger of the monotonic and the wall-clock time since then. A clock that
// stopped while the VM was suspended doesn't prolong a term if the other clock advanced.
func elapsed(then, now time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
