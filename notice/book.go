package notice

import (
	"math/rand/v2"
	"time"
)

// Run identifies one run of a target. A notice doesn't apply to a later run under the same ID,
// except for what Inherit transfers.
type Run struct {
	Target string
	// Incarnation distinguishes the runs of a target, 0 if it is not available.
	Incarnation int64
}

// DefaultRuns bounds the runs that a Book stores, about 100 bytes each. At some hundred target
// shutdowns a day, it is reached after weeks.
const DefaultRuns = 16384

// Book stores the notices of runs, also while no entry or target list contains the run: a run
// that shuts down may reappear in an older copy of either. It is not safe for concurrent use.
type Book struct {
	maxRuns int
	states  map[Run]*State
	order   []Run // in the order of their first notice
	// cooldownsUntil is the latest end of a cooldown that any run has requested.
	cooldownsUntil time.Time
}

// NewBook returns an empty book for the given number of runs.
func NewBook(maxRuns int) *Book {
	return &Book{maxRuns: maxRuns, states: make(map[Run]*State)}
}

// State returns the notices of a run so far, nil if there are none.
func (b *Book) State(r Run) *State { return b.states[r] }

// Record records a notice of a run.
func (b *Book) Record(r Run, n Notice, now time.Time, rng *rand.Rand) (*State, Change) {
	s := b.getOrCreate(r)
	change := s.Record(n, now, rng)
	if s.cooldownUntil.After(b.cooldownsUntil) {
		b.cooldownsUntil = s.cooldownUntil
	}
	return s, change
}

// Inherit transfers a cooldown from an earlier run to a later one under the same ID.
// It must be called when the later run becomes known.
func (b *Book) Inherit(earlier, later Run, now time.Time) {
	previous := b.states[earlier]
	if !previous.InCooldown(now) || b.states[later] != nil {
		return
	}
	b.getOrCreate(later).inheritCooldown(previous, now)
}

// getOrCreate returns the state of a run, a new one if there is none.
func (b *Book) getOrCreate(r Run) *State {
	if s, ok := b.states[r]; ok {
		return s
	}
	b.evict()
	s := &State{}
	b.states[r] = s
	b.order = append(b.order, r)
	return s
}

// InCooldown reports whether any run is in a cooldown at now.
func (b *Book) InCooldown(now time.Time) bool { return now.Before(b.cooldownsUntil) }

// evict removes the run with the oldest first notice if the book is full.
func (b *Book) evict() {
	if len(b.order) < b.maxRuns {
		return
	}
	delete(b.states, b.order[0])
	b.order = b.order[1:]
}
