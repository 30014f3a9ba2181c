// Package lease lets one node at a time hold a named duty. The duty is a key
// in the platform's store that is bound to a store lease; the key's creation
// revision is the fencing number of the term.
//
// Machine decides and does no I/O; Keeper runs it against a store.Store.
package lease

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

// Prefix is the root of the duty keys.
const Prefix = "/knapweedgw/duties/"

// Key returns the store key of a duty.
func Key(duty string) string { return Prefix + duty }

// Config holds the durations of a term.
type Config struct {
	// TTL is the time after its last renewal at which the store ends the
	// lease.
	TTL time.Duration
	// Margin is how much earlier the holder stops believing in its lease. It
	// covers clocks whose rates differ by up to Margin/(TTL-Margin).
	Margin time.Duration
	// RenewEvery is the time between the starts of two renewals, and between
	// two looks at a duty that another holds.
	RenewEvery time.Duration
	// Retry is the wait before a failed call is repeated.
	Retry time.Duration
}

// DefaultTTL lets another node take over within some twenty seconds.
const DefaultTTL = 15 * time.Second

// DefaultConfig is ConfigFor(DefaultTTL).
func DefaultConfig() Config { return ConfigFor(DefaultTTL) }

// ConfigFor returns durations in proportion to a TTL. They cover clock rates
// that differ by up to 11% and two failed renewals.
func ConfigFor(ttl time.Duration) Config {
	return Config{TTL: ttl, Margin: ttl / 10, RenewEvery: ttl / 3, Retry: ttl * 2 / 15}
}

// Validate reports the first fault with its remedy.
func (c Config) Validate() error {
	switch {
	case c.Margin <= 0 || c.Margin >= c.TTL:
		return errors.New("lease: margin is not between 0 and the TTL: use a tenth of the TTL")
	case c.RenewEvery <= 0 || c.RenewEvery >= c.TTL-c.Margin:
		return errors.New("lease: renewals come too late: use a third of the TTL")
	case c.Retry <= 0:
		return errors.New("lease: retry is not positive: use 2s")
	}
	return nil
}

// Call is what the machine wants done.
type Call int

// The calls of an Action.
const (
	// CallNone asks to wait until Action.At.
	CallNone Call = iota
	// CallProbe reads the duty's key to see whether it is free.
	CallProbe
	// CallGrant makes a store lease.
	CallGrant
	// CallCreate creates the duty's key, bound to the lease.
	CallCreate
	// CallReadBack reads the key to settle an uncertain creation.
	CallReadBack
	// CallRenew renews the store lease.
	CallRenew
	// CallRevoke ends the store lease.
	CallRevoke
)

var callNames = [...]string{"none", "probe", "grant", "create", "read_back", "renew", "revoke"}

// String returns the call's name in metrics.
func (c Call) String() string { return callNames[c] }

// Action is the machine's next step.
type Action struct {
	Call    Call
	At      time.Time // for CallNone
	Lease   store.LeaseID
	WriteID string
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

// Record is the duty's key as read from the store.
type Record struct {
	Holder   string `json:"holder"`
	WriteID  string `json:"write_id"`
	Revision int64  `json:"-"`
}

// Term is one unbroken hold of a duty.
type Term struct {
	// Fence is the fencing number. A later term's is greater, also across
	// duties, because it is a revision of the store.
	Fence int64
	// Until is when the holder stops believing, on its own clock.
	Until time.Time
}

// Loss says why a term ended.
type Loss string

// The reasons for which a term ends.
const (
	LossNone     Loss = ""
	LossLapsed   Loss = "lapsed"    // no renewal succeeded in time
	LossNotFound Loss = "not_found" // the store had ended the lease
	LossFenced   Loss = "fenced"    // a newer fencing number was seen
	LossReleased Loss = "released"  // the holder stopped
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

// Machine is the state of one contender for a duty. It isn't safe for
// concurrent use. Exactly one Observe follows each Next that returns a call.
type Machine struct {
	cfg     Config
	writeID func() string

	phase    phase
	wake     time.Time // not before
	lease    store.LeaseID
	write    string
	fence    int64
	renewed  time.Time // send time of the last renewal that succeeded
	stopping bool
	loss     Loss
	holder   string // as last read
}

// NewMachine returns a contender that doesn't hold the duty. writeID must
// return a new unique ID at each call.
func NewMachine(cfg Config, writeID func() string) *Machine {
	return &Machine{cfg: cfg, writeID: writeID}
}

// Held returns the current term. ok is false once the time since the last
// successful renewal was sent exceeds TTL minus margin.
func (m *Machine) Held(now time.Time) (t Term, ok bool) {
	if m.phase != phaseHeld || elapsed(m.renewed, now) >= m.cfg.TTL-m.cfg.Margin {
		return Term{}, false
	}
	return Term{Fence: m.fence, Until: m.renewed.Add(m.cfg.TTL - m.cfg.Margin)}, true
}

// Holder returns who held the duty when it was last read.
func (m *Machine) Holder() string { return m.holder }

// LastLoss returns why the last term ended.
func (m *Machine) LastLoss() Loss { return m.loss }

// Next returns what to do at the given time.
func (m *Machine) Next(now time.Time) Action {
	if m.phase == phaseHeld && !m.believes(now) {
		m.lose(LossLapsed)
	}
	if m.phase == phaseStopped || now.Before(m.wake) {
		return Action{Call: CallNone, At: m.wake}
	}
	switch m.phase {
	case phaseIdle:
		return m.idle()
	case phaseGrant:
		return Action{Call: CallGrant}
	case phaseCreate:
		return Action{Call: CallCreate, Lease: m.lease, WriteID: m.write}
	case phaseReadBack:
		return Action{Call: CallReadBack, WriteID: m.write}
	case phaseHeld:
		return Action{Call: CallRenew, Lease: m.lease}
	default:
		return Action{Call: CallRevoke, Lease: m.lease}
	}
}

func (m *Machine) idle() Action {
	if m.stopping {
		m.phase = phaseStopped
		return Action{Call: CallNone}
	}
	return Action{Call: CallProbe}
}

// believes says whether the term goes on.
func (m *Machine) believes(now time.Time) bool {
	_, ok := m.Held(now)
	return ok
}

// Lose ends the term because a newer fencing number was seen.
func (m *Machine) Lose() {
	if m.phase == phaseHeld {
		m.lose(LossFenced)
	}
}

// Release ends the term, if any, and contends no more.
func (m *Machine) Release() {
	m.stopping = true
	m.wake = time.Time{}
	switch m.phase {
	case phaseHeld:
		m.lose(LossReleased)
	case phaseCreate, phaseReadBack:
		m.phase = phaseRevoke
	case phaseIdle, phaseGrant:
		m.phase = phaseStopped
	}
}

// Stopped says that the machine has released the duty and does no more.
func (m *Machine) Stopped() bool { return m.phase == phaseStopped }

func (m *Machine) lose(why Loss) {
	m.loss = why
	m.phase = phaseRevoke
	m.wake = time.Time{}
}

// elapsed returns the larger of the monotonic and the wall-clock time since
// then, so that a clock that stood still while the VM was suspended doesn't
// prolong a term if the other one went on.
func elapsed(then, now time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
