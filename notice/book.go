package notice

import (
	"math/rand/v2"
	"time"
)

// Run names one run of a target. What a run has said is nothing to a later one under the
// same ID, but for what Succeed hands on.
type Run struct {
	Target string
	// Incarnation tells the runs of a target apart, 0 if nothing does.
	Incarnation int64
}

// DefaultRuns bounds the runs that a Book keeps, about 100 bytes each. At some hundred
// ends of targets a day it is weeks.
const DefaultRuns = 16384

// Book keeps what runs have said, also while no entry or list shows them: a run that leaves
// may come back in an older copy of either. One goroutine at a time may use it.
type Book struct {
	most   int
	states map[Run]*State
	order  []Run // in the order in which they were first heard
	// restsUntil is the end of the last rest that any run has asked for.
	restsUntil time.Time
}

// NewBook returns an empty book for the given number of runs.
func NewBook(most int) *Book {
	return &Book{most: most, states: make(map[Run]*State)}
}

// State returns what a run has said, nil for nothing.
func (b *Book) State(r Run) *State { return b.states[r] }

// Hear takes a notice of a run.
func (b *Book) Hear(r Run, n Notice, now time.Time, rng *rand.Rand) (*State, Change) {
	s := b.enter(r)
	change := s.Hear(n, now, rng)
	if s.restUntil.After(b.restsUntil) {
		b.restsUntil = s.restUntil
	}
	return s, change
}

// Succeed is told of a later run under the ID of an earlier one as that becomes known.
func (b *Book) Succeed(earlier, later Run, now time.Time) {
	past := b.states[earlier]
	if !past.Rests(now) || b.states[later] != nil {
		return
	}
	b.enter(later).succeed(past, now)
}

// enter returns the state of a run, a new one if there is none.
func (b *Book) enter(r Run) *State {
	if s, ok := b.states[r]; ok {
		return s
	}
	b.evict()
	s := &State{}
	b.states[r] = s
	b.order = append(b.order, r)
	return s
}

// Resting says whether any run rests at now.
func (b *Book) Resting(now time.Time) bool { return now.Before(b.restsUntil) }

// evict makes room for one run, at the cost of the one heard of first.
func (b *Book) evict() {
	if len(b.order) < b.most {
		return
	}
	delete(b.states, b.order[0])
	b.order = b.order[1:]
}
