// Package notice keeps what targets say of themselves in their answers: that they leave,
// and that they want no requests from this node for a while. It is pure: the caller
// passes the time and the random source.
package notice

import (
	"math/rand/v2"
	"time"
)

// Notice is what one answer says of the target that gave it. The zero Notice says
// nothing.
type Notice struct {
	// Leaving means that the target is about to stop.
	Leaving bool
	// Rest is how long the target wants no requests from this node, 0 for no wish.
	Rest time.Duration
	// Unreadable is a Retry-After that says no time, empty for none.
	Unreadable string
}

const (
	// restSpread is the largest part of a rest by which it is lengthened at random, up
	// to maxSpread, so that nodes which were turned away together return apart.
	restSpread = 0.1
	maxSpread  = 500 * time.Millisecond
)

// State is what one run of a target has said so far. The zero State says nothing.
type State struct {
	leaving    bool
	restUntil  time.Time
	restHeard  time.Time // when that rest was asked for
	unreadable bool
}

// startNews is how long a node may send to a run before it knows of its start: some
// heartbeats of a target, and the time in which it comes back after an outage of the store.
const startNews = 5 * time.Second

// succeed takes a rest that may have been asked for by a later run under the same ID, of
// whose start the node didn't know. A longer one is asked for again.
func (s *State) succeed(earlier *State, now time.Time) {
	if now.Sub(earlier.restHeard) >= startNews {
		return
	}
	s.restUntil, s.restHeard = earlier.restUntil, earlier.restHeard
	if most := now.Add(startNews); s.restUntil.After(most) {
		s.restUntil = most
	}
}

// Change is what a notice adds to what was known.
type Change struct {
	// Leaves: the target was not known to leave. Rests: its rest ends later than known.
	// Unreadable: it had not sent an unreadable Retry-After before.
	Leaves, Rests, Unreadable bool
}

// Hear takes a notice. A run that leaves never comes back, and a shorter rest doesn't
// end a longer one: answers may overtake each other.
func (s *State) Hear(n Notice, now time.Time, rng *rand.Rand) Change {
	var c Change
	if n.Leaving && !s.leaving {
		s.leaving, c.Leaves = true, true
	}
	if until := now.Add(n.Rest + spread(n.Rest, rng)); n.Rest > 0 && until.After(s.restUntil) {
		s.restUntil, s.restHeard, c.Rests = until, now, true
	}
	if n.Unreadable != "" && !s.unreadable {
		s.unreadable, c.Unreadable = true, true
	}
	return c
}

func spread(rest time.Duration, rng *rand.Rand) time.Duration {
	most := min(time.Duration(restSpread*float64(rest)), maxSpread)
	return time.Duration(rng.Float64() * float64(most))
}

// Leaving says whether the run has said that it leaves.
func (s *State) Leaving() bool { return s != nil && s.leaving }

// Rests says whether the run has asked for no requests at now.
func (s *State) Rests(now time.Time) bool { return s != nil && now.Before(s.restUntil) }

// RestFor returns how much longer the run rests, 0 if it doesn't.
func (s *State) RestFor(now time.Time) time.Duration {
	if !s.Rests(now) {
		return 0
	}
	return s.restUntil.Sub(now)
}

// MaySend says whether a request may be sent to the run at now.
func (s *State) MaySend(now time.Time) bool { return !s.Leaving() && !s.Rests(now) }
