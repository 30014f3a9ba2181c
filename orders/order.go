// Package orders brings the engines of a pool to their desired state: model,
// version, adapters and role. One issuer a pool holds a lease whose fencing
// number each order carries. Orders are idempotent; their result is read back
// and reconciled again.
//
// Pool decides and does no I/O; Issuer runs it against the store and the
// engines; Service runs the issuers of a node.
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

// Role is the part of a generation that an engine runs.
type Role = settings.Role

// The roles of an engine.
const (
	RoleBoth    = settings.RoleBoth
	RolePrefill = settings.RolePrefill
	RoleDecode  = settings.RoleDecode
)

// Desired is what an engine is to have loaded.
type Desired struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     Role     `json:"role"`
}

// SameWeights says whether changing from d to o loads nothing from the weight
// store.
func (d Desired) SameWeights(o Desired) bool {
	return d.Model == o.Model && d.Version == o.Version && slices.Equal(d.Adapters, o.Adapters)
}

// Equal says whether d and o are the same state.
func (d Desired) Equal(o Desired) bool { return d.SameWeights(o) && d.Role == o.Role }

// Order asks one engine to reach a desired state. Applying it twice is the
// same as once.
type Order struct {
	// Fence is the issuer's fencing number. An engine that checks refuses an
	// order with a smaller one than it has accepted.
	Fence int64 `json:"fence"`
	// Incarnation is that of the engine addressed. An engine that checks
	// refuses an order for another.
	Incarnation int64   `json:"incarnation"`
	Issuer      string  `json:"issuer"`
	Desired     Desired `json:"desired"`
}

// Phase is what an engine is doing about its target state.
type Phase string

// The phases of an engine.
const (
	PhaseEmpty   Phase = "empty"
	PhaseLoading Phase = "loading"
	PhaseReady   Phase = "ready"
	PhaseFailed  Phase = "failed"
)

// State is an engine's own report of what it has loaded.
type State struct {
	Incarnation int64 `json:"incarnation"`
	// Fence is that of the order last accepted.
	Fence   int64   `json:"fence"`
	Phase   Phase   `json:"phase"`
	Current Desired `json:"current"` // loaded; zero if nothing is
	Target  Desired `json:"target"`  // last ordered
	Error   string  `json:"error,omitempty"`
}

// Typed failures of an engine client. Test with errors.Is.
var (
	// ErrStaleFence means that the engine has accepted a greater fencing
	// number.
	ErrStaleFence = errors.New("orders: the engine has seen a greater fencing number; take a new term")
	// ErrIncarnation means that the engine has restarted since it was listed.
	ErrIncarnation = errors.New("orders: the engine has restarted; read its state again")
	// ErrRefused means that the engine refused the order's content.
	ErrRefused = errors.New("orders: the engine refused the order; check the model, version and adapters in the settings")
	// ErrNotSent means that nothing of the order left this node.
	ErrNotSent = errors.New("orders: not sent; it is planned again")
	// ErrUncertain means that the engine may have taken the order. Read back.
	ErrUncertain = errors.New("orders: answer lost; read the engine's state back")
)

// Guard is asked right before an order leaves the node. An error stops it.
type Guard func() error

// EngineClient speaks to engines by address ("ip:port").
type EngineClient interface {
	// Apply sends an order. A nil error means that the engine accepted it and
	// has begun. The client calls guard right before each write to the
	// network and sends nothing if it fails.
	Apply(ctx context.Context, addr string, o Order, guard Guard) error
	// Read returns the engine's state.
	Read(ctx context.Context, addr string) (State, error)
}

// Fencing says whether the engines of a pool check fencing numbers.
type Fencing = settings.Fencing

// The kinds of engines. The zero value means FencingIgnored.
const (
	FencingChecked = settings.FencingChecked
	FencingIgnored = settings.FencingIgnored
)

// Spec is the desired state of a pool, as the settings give it.
type Spec struct {
	// Revision is the store revision of the settings that it comes from.
	Revision int64   `json:"revision"`
	Desired  Desired `json:"desired"`
	Fencing  Fencing `json:"fencing"`
	// Attempt starts a stopped roll-out of the same state again when raised.
	Attempt int `json:"attempt,omitempty"`
	// LoadsPerMinute replaces that of the limits unless it is 0. It isn't
	// part of the desired state.
	LoadsPerMinute float64 `json:"-"`
}

// Hash names the desired state, whatever the revision it was read at.
func (s Spec) Hash() string {
	s.Revision = 0
	raw, _ := json.Marshal(s) // a struct of strings and numbers can't fail
	sum := xxhash.Sum64(raw)
	const bytes = 8
	out := make([]byte, bytes)
	for i := range out {
		out[i] = byte(sum >> (8 * i))
	}
	return hex.EncodeToString(out)
}

// Target is an engine of the pool.
type Target struct {
	ID          string
	Addr        string
	Incarnation int64
}

// Limits paces a roll-out.
type Limits struct {
	// MaxLoading is the most engines of a pool that load at a time.
	MaxLoading int
	// LoadsPerMinute bounds the loads from the weight store, on average.
	LoadsPerMinute float64
	// MaxOutShare is the largest share of a pool's engines out of service at
	// a time because of orders; one engine is always allowed.
	MaxOutShare float64
	// Canaries is how many engines must reach a new state first.
	Canaries int
	// MaxAttempts is how often one engine is ordered in vain.
	MaxAttempts int
	// MaxFailedShare is the share of a pool's engines which, once given up,
	// stops a roll-out after its canaries.
	MaxFailedShare float64
	// OrderTimeout bounds one order from its guard to its answer.
	OrderTimeout time.Duration
	// Settle is how much longer than OrderTimeout a new issuer waits before
	// its first order to engines that ignore fencing.
	Settle time.Duration
	// Backoff is the wait after a first failure; it doubles with each.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// ReadsPerSecond bounds the reads of engines' states.
	ReadsPerSecond float64
	// ReadEvery is the shortest time between two reads of a settled engine;
	// an engine under an order is read every PendingReadEvery.
	ReadEvery        time.Duration
	PendingReadEvery time.Duration
	// OrderGrace is how long an accepted order may stay unseen in the
	// engine's state before it counts as failed.
	OrderGrace time.Duration
	// RecordEvery is the shortest time between two records of progress.
	RecordEvery time.Duration
}

// DefaultLimits are for pools of some tens to some hundreds of engines.
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
