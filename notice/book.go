package notice

import (
	"math/rand/v2"
	"time"
)

// Run identifies one run of a target. A notice doesn't apply to a later run under the same ID,
// except for what Succeed transfers.
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
	// restsUntil is the latest end of a Retry-After period that any run has requested.
	restsUntil time.Time
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
	if s.restUntil.After(b.restsUntil) {
		b.restsUntil = s.restUntil
	}
	return s, change
}

// Inherit transfers a Retry-After period from an earlier run to a later one under the same ID.
// It must be called when the later run becomes known.
func (b *Book) Inherit(earlier, later Run, now time.Time) {
	previous := b.states[earlier]
	if !previous.InCooldown(now) || b.states[later] != nil {
		return
	}
	b.getOrCreate(later).inheritRest(previous, now)
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

// Resting reports whether any run is in a Retry-After period at now.
func (b *Book) Resting(now time.Time) bool { return now.Before(b.restsUntil) }

// evict removes the run with the oldest first notice if the book is full.
func (b *Book) evict() {
	if len(b.order) < b.maxRuns {
		return
	}
	delete(b.states, b.order[0])
	b.order = b.order[1:]
}
