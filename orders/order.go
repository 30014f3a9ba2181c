// Package orders brings the engines of a pool to their desired state: model,
// version, adapters and role. One issuer per pool holds a lease, and each order
// carries the fencing number of that lease. Orders are idempotent; after an
// order the engine's state is read back and reconciled again.
//
// Pool makes the decisions without I/O; Issuer runs a Pool against the store and
// the engines; Service runs the issuers of a node.
package orders

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/settings"
)

// Role selects which phases of a generation an engine runs: prefill, decode or both.
type Role = settings.Role

// The roles of an engine.
const (
	RoleBoth    = settings.RoleBoth
	RolePrefill = settings.RolePrefill
	RoleDecode  = settings.RoleDecode
)

// Desired is the state that an engine is to load.
type Desired struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     Role     `json:"role"`
}

// SameWeights reports whether changing from d to o needs no load from the weight
// store.
func (d Desired) SameWeights(o Desired) bool {
	return d.Model == o.Model && d.Version == o.Version && slices.Equal(d.Adapters, o.Adapters)
}

// Equal reports whether d and o are the same state.
func (d Desired) Equal(o Desired) bool { return d.SameWeights(o) && d.Role == o.Role }

// Order requests one engine to reach a desired state. It is idempotent.
type Order struct {
	// Fence is the fencing number of the issuer's lease. An engine that checks
	// fencing numbers refuses an order with a smaller number than it has accepted.
	Fence int64 `json:"fence"`
	// Incarnation is that of the addressed engine; it changes with each restart.
	// An engine that checks fencing numbers refuses an order for another incarnation.
	Incarnation int64   `json:"incarnation"`
	Issuer      string  `json:"issuer"`
	Desired     Desired `json:"desired"`
}

// Phase is the progress of an engine towards the state last ordered.
type Phase string

// The phases of an engine.
const (
	PhaseEmpty   Phase = "empty"
	PhaseLoading Phase = "loading"
	PhaseReady   Phase = "ready"
	PhaseFailed  Phase = "failed"
)

// State is an engine's report of what it has loaded.
type State struct {
	Incarnation int64 `json:"incarnation"`
	// Fence is the fencing number of the order last accepted.
	Fence   int64   `json:"fence"`
	Phase   Phase   `json:"phase"`
	Current Desired `json:"current"` // loaded; zero if nothing is loaded
	Target  Desired `json:"target"`  // last ordered
	Error   string  `json:"error,omitempty"`
}

// Errors of an EngineClient; test with errors.Is.
var (
	// ErrStaleFence means that the engine has accepted a greater fencing
	// number.
	ErrStaleFence = errors.New("orders: the engine has seen a greater fencing number; take a new term")
	// ErrIncarnation means that the engine has restarted since its incarnation was
	// listed.
	ErrIncarnation = errors.New("orders: the engine has restarted; read its state again")
	// ErrRefused means that the engine refused the order's content.
	ErrRefused = errors.New("orders: the engine refused the order; check the model, version and adapters in the settings")
	// ErrNotSent means that no byte of the order left this node.
	ErrNotSent = errors.New("orders: not sent; the order is planned again")
	// ErrUncertain means that the engine may have accepted the order; read its
	// state back.
	ErrUncertain = errors.New("orders: response lost; read the engine's state back")
)

// Guard is called right before an order is written to the network. An error
// prevents the write.
type Guard func() error

// EngineClient sends orders to engines and reads their states, by address
// ("ip:port").
type EngineClient interface {
	// Apply sends an order. A nil error means that the engine has accepted it and
	// started to apply it. The client calls guard right before each write to the
	// network and sends nothing if it fails.
	Apply(ctx context.Context, addr string, o Order, guard Guard) error
	// Read returns the engine's state.
	Read(ctx context.Context, addr string) (State, error)
}

// Fencing states whether the engines of a pool check fencing numbers.
type Fencing = settings.Fencing

// The values of Fencing. The zero value means FencingIgnored.
const (
	FencingChecked = settings.FencingChecked
	FencingIgnored = settings.FencingIgnored
)

// Spec is the desired state of a pool, derived from the settings.
type Spec struct {
	// Revision is the store revision of the settings it is derived from.
	Revision int64   `json:"revision"`
	Desired  Desired `json:"desired"`
	Fencing  Fencing `json:"fencing"`
	// Attempt restarts a halted roll-out of the same state when it is raised.
	Attempt int `json:"attempt,omitempty"`
	// LoadsPerMinute overrides Limits.LoadsPerMinute unless it is 0. It isn't
	// part of the desired state.
	LoadsPerMinute float64 `json:"-"`
}

// Hash identifies the desired state, independent of Revision and LoadsPerMinute.
func (s Spec) Hash() string {
	s.Revision = 0
	raw, _ := json.Marshal(s) // encoding strings and numbers can't fail
	sum := xxhash.Sum64(raw)
	const bytes = 8
	out := make([]byte, bytes)
	for i := range out {
		out[i] = byte(sum >> (8 * i))
	}
	return hex.EncodeToString(out)
}

// Target is an engine of the pool that orders can be sent to.
type Target struct {
	ID          string
	Addr        string
	Incarnation int64
}

// Limits bounds the speed and the failures of a roll-out.
type Limits struct {
	// MaxLoading is the maximum number of engines of a pool that load at a time.
	MaxLoading int
	// LoadsPerMinute bounds the loads from the weight store, on average.
	LoadsPerMinute float64
	// MaxOutShare is the largest share of a pool's engines that may be out of
	// service at a time because of orders; one engine is always allowed.
	MaxOutShare float64
	// Canaries is the number of engines that must reach a new state before the
	// others are ordered.
	Canaries int
	// MaxAttempts is the number of failed orders after which an engine is given up.
	MaxAttempts int
	// MaxFailedShare is the share of a pool's engines that may be given up after
	// the canaries have succeeded; more halt the roll-out.
	MaxFailedShare float64
	// OrderTimeout bounds one order, from the guard to the engine's response.
	OrderTimeout time.Duration
	// Settle is added to OrderTimeout for the time that a new issuer waits before
	// its first order to engines that ignore fencing.
	Settle time.Duration
	// Backoff is the delay after a first failure; it doubles with each further one,
	// up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// ReadsPerSecond bounds the reads of engines' states.
	ReadsPerSecond float64
	// ReadEvery is the shortest time between two reads of an engine's state;
	// an engine that an order is in progress on is read every PendingReadEvery.
	ReadEvery        time.Duration
	PendingReadEvery time.Duration
	// OrderGrace is how long the engine's state may not show an accepted order
	// before the order counts as failed.
	OrderGrace time.Duration
	// RecordEvery is the shortest time between two writes of progress to the record.
	RecordEvery time.Duration
}

// DefaultLimits returns limits for pools of some tens to some hundreds of engines.
func DefaultLimits() Limits {
	return Limits{
		MaxLoading: 4, LoadsPerMinute: 12, MaxOutShare: 0.1,
		Canaries: 2, MaxAttempts: 3, MaxFailedShare: 0.1,
		OrderTimeout: 2 * time.Second, Settle: 3 * time.Second,
		Backoff: 5 * time.Second, MaxBackoff: 2 * time.Minute,
		ReadsPerSecond: 5, ReadEvery: 30 * time.Second, PendingReadEvery: 2 * time.Second,
		OrderGrace: 10 * time.Second, RecordEvery: 15 * time.Second,
	}
}
