// Package orderstest has an engine in memory that takes orders, an
// orders.EngineClient for it, and the contract that every client must meet.
package orderstest

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/orders"
)

// Faults are the engine's switches about orders; the zero value is an engine
// that checks fencing numbers and loads at once.
type Faults struct {
	// IgnoreFencing obeys every order, whatever its numbers.
	IgnoreFencing bool `json:"ignore_fencing"`
	// LoadMS is how long a load takes.
	LoadMS int `json:"load_ms"`
	// FailVersion makes loads of that version fail.
	FailVersion string `json:"fail_version"`
	// RefuseVersion refuses orders for that version.
	RefuseVersion string `json:"refuse_version"`
	// LoseEvery loses the answer of each n-th order after it took effect.
	LoseEvery int `json:"lose_every"`
	// Down answers nothing.
	Down bool `json:"down"`
}

// Entry is one order that the engine applied.
type Entry struct {
	At    time.Time    `json:"at"`
	Order orders.Order `json:"order"`
}

// Engine is the part of a model engine that takes orders. It is safe for
// concurrent use.
type Engine struct {
	now func() time.Time

	mu      sync.Mutex
	faults  Faults
	state   orders.State
	readyAt time.Time
	seen    int
	journal []Entry
}

// NewEngine returns an empty engine on the given clock.
func NewEngine(incarnation int64, now func() time.Time) *Engine {
	return &Engine{now: now, state: orders.State{Incarnation: incarnation, Phase: orders.PhaseEmpty}}
}

// SetFaults puts the switches in force.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the switches in force.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Apply takes an order. lost says that its answer is to be lost.
func (e *Engine) Apply(o orders.Order) (lost bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if err := e.check(o); err != nil {
		return false, err
	}
	e.journal = append(e.journal, Entry{At: e.now(), Order: o})
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

// begin starts to bring about d; an order for what is there or under way
// changes nothing.
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

// advance ends a load whose time has come.
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

// State returns the engine's report.
func (e *Engine) State() orders.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return e.state
}

// Journal returns the orders applied so far, oldest first.
func (e *Engine) Journal() []Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.journal)
}

// Restart empties the engine, which forgets its fencing number, and gives it
// a new incarnation.
func (e *Engine) Restart(incarnation int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = orders.State{Incarnation: incarnation, Phase: orders.PhaseEmpty}
}

// errDown is what a call to an engine that answers nothing ends in.
var errDown = errors.Wrap(orders.ErrNotSent, "engine down")
