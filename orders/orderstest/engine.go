// Package orderstest contains an in-memory engine that accepts orders, an
// orders.EngineClient for it, and the contract tests for every EngineClient.
package orderstest

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/orders"
)

// Faults configures the engine's faults; the zero value is an engine that checks
// fencing numbers and loads without delay.
type Faults struct {
	// IgnoreFencing accepts every order, whatever its fencing number and
	// incarnation.
	IgnoreFencing bool `json:"ignore_fencing"`
	// LoadMS is how long a load takes, in milliseconds.
	LoadMS int `json:"load_ms"`
	// FailVersion makes loads of this version fail.
	FailVersion string `json:"fail_version"`
	// RefuseVersion makes the engine refuse orders for this version.
	RefuseVersion string `json:"refuse_version"`
	// LoseEvery, if n > 0, makes the response to each n-th order get lost after the
	// order was applied.
	LoseEvery int `json:"lose_every"`
	// Down makes every call fail without a response.
	Down bool `json:"down"`
}

// AppliedOrder is one order that the engine applied, with its time.
type AppliedOrder struct {
	At    time.Time    `json:"at"`
	Order orders.Order `json:"order"`
}

// Engine simulates the order interface of an engine. It is safe for concurrent use.
type Engine struct {
	now func() time.Time

	mu      sync.Mutex
	faults  Faults
	state   orders.State
	readyAt time.Time
	seen    int
	applied []AppliedOrder
}

// NewEngine returns an engine with nothing loaded that uses the given clock.
func NewEngine(incarnation int64, now func() time.Time) *Engine {
	return &Engine{now: now, state: orders.State{Incarnation: incarnation, Phase: orders.PhaseEmpty}}
}

// SetFaults replaces the configured faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the configured faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Apply applies an order or returns why it is refused. If lost is true, the caller
// must drop the response.
func (e *Engine) Apply(o orders.Order) (lost bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if err := e.check(o); err != nil {
		return false, err
	}
	e.applied = append(e.applied, AppliedOrder{At: e.now(), Order: o})
	e.seen++
	e.state.Fence = o.Fence
	e.begin(o.Desired)
	return e.faults.LoseEvery > 0 && e.seen%e.faults.LoseEvery == 0, nil
}

func (e *Engine) check(o orders.Order) error {
	switch {
	case e.faults.RefuseVersion != "" && o.Desired.Version == e.faults.RefuseVersion:
		return orders.ErrRefused
	case e.faults.IgnoreFencing:
		return nil
	case o.Fence < e.state.Fence:
		return orders.ErrStaleFence
	case o.Incarnation != e.state.Incarnation:
		return orders.ErrIncarnation
	}
	return nil
}

// begin starts to apply d; an order for the state that is loaded or loading changes
// nothing.
func (e *Engine) begin(d orders.Desired) {
	s := &e.state
	same := s.Target.Equal(d) && s.Phase != orders.PhaseFailed
	weights := s.Phase == orders.PhaseReady && s.Current.SameWeights(d)
	s.Target = d
	switch {
	case same:
	case weights:
		s.Current = d
	default:
		s.Phase, s.Current, s.Error = orders.PhaseLoading, orders.Desired{}, ""
		e.readyAt = e.now().Add(time.Duration(e.faults.LoadMS) * time.Millisecond)
	}
	e.advance()
}

// advance completes a load whose duration has passed.
func (e *Engine) advance() {
	s := &e.state
	if s.Phase != orders.PhaseLoading || e.now().Before(e.readyAt) {
		return
	}
	if e.faults.FailVersion != "" && s.Target.Version == e.faults.FailVersion {
		s.Phase, s.Error = orders.PhaseFailed, "no weights for version "+s.Target.Version
		return
	}
	s.Phase, s.Current = orders.PhaseReady, s.Target
}

// State returns the engine's current state.
func (e *Engine) State() orders.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return e.state
}

// AppliedOrders returns the orders applied so far, oldest first.
func (e *Engine) AppliedOrders() []AppliedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.applied)
}

// Restart simulates a restart: the engine has a new incarnation, nothing loaded and
// no fencing number.
func (e *Engine) Restart(incarnation int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = orders.State{Incarnation: incarnation, Phase: orders.PhaseEmpty}
}

// errDown is the error of a call to an engine that is down.
var errDown = errors.Wrap(orders.ErrNotSent, "engine down")
