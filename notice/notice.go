// Package notice records what targets announce in their responses: that they are shutting down,
// and that they want no requests from this node for a while (Retry-After). The latter is called
// a cooldown. The package is pure: the caller passes the time and the random source.
package notice

import (
	"math/rand/v2"
	"time"
)

// Notice is the announcement in one response of a target. The zero Notice announces nothing.
type Notice struct {
	// Leaving means that the target is about to shut down.
	Leaving bool
	// RetryAfter is how long the target wants no requests from this node, 0 if it requested none.
	RetryAfter time.Duration
	// Unreadable is a Retry-After value that gives no time, empty if there is none.
	Unreadable string
}

const (
	// jitterShare is the maximum share of a cooldown by which it is prolonged at random, up to
	// maxJitter, so that nodes which were rejected together don't return together.
	jitterShare = 0.1
	maxJitter   = 500 * time.Millisecond
)

// State holds the notices of one run of a target so far. The zero State holds none.
type State struct {
	leaving           bool
	cooldownUntil     time.Time
	cooldownRequested time.Time // when that cooldown was requested
	unreadable        bool
}

// maxStartLag is how long a node may send to a run before it has learned of its start: several
// heartbeats of a target, and the time in which it returns after an outage of the store.
const maxStartLag = 5 * time.Second

// inheritCooldown takes over a cooldown recorded for the earlier run that the later run under the
// same ID may have requested, before this node learned of its start. The cooldown is limited to
// maxStartLag; the target requests a longer one again.
func (s *State) inheritCooldown(earlier *State, now time.Time) {
	if now.Sub(earlier.cooldownRequested) >= maxStartLag {
		return
	}
	s.cooldownUntil, s.cooldownRequested = earlier.cooldownUntil, earlier.cooldownRequested
	if latest := now.Add(maxStartLag); s.cooldownUntil.After(latest) {
		s.cooldownUntil = latest
	}
}

// Change is what a notice adds to the state of its run.
type Change struct {
	// NewlyLeaving: the target was not known to be shutting down. CooldownExtended: its cooldown
	// ends later than before. FirstUnreadable: it had not sent an unreadable Retry-After before.
	NewlyLeaving, CooldownExtended, FirstUnreadable bool
}

// Record records a notice. A shutdown is never revoked, and a shorter cooldown doesn't end a
// longer one, since responses may arrive out of order.
func (s *State) Record(n Notice, now time.Time, rng *rand.Rand) Change {
	var c Change
	if n.Leaving && !s.leaving {
		s.leaving, c.NewlyLeaving = true, true
	}
	if until := now.Add(n.RetryAfter + jitter(n.RetryAfter, rng)); n.RetryAfter > 0 && until.After(s.cooldownUntil) {
		s.cooldownUntil, s.cooldownRequested, c.CooldownExtended = until, now, true
	}
	if n.Unreadable != "" && !s.unreadable {
		s.unreadable, c.FirstUnreadable = true, true
	}
	return c
}

func jitter(cooldown time.Duration, rng *rand.Rand) time.Duration {
	limit := min(time.Duration(jitterShare*float64(cooldown)), maxJitter)
	return time.Duration(rng.Float64() * float64(limit))
}

// Leaving reports whether the run has announced its shutdown.
func (s *State) Leaving() bool { return s != nil && s.leaving }

// InCooldown reports whether the run wants no requests at now.
func (s *State) InCooldown(now time.Time) bool { return s != nil && now.Before(s.cooldownUntil) }

// CooldownLeft returns the remaining time of the run's cooldown, 0 if there is none.
func (s *State) CooldownLeft(now time.Time) time.Duration {
	if !s.InCooldown(now) {
		return 0
	}
	return s.cooldownUntil.Sub(now)
}

// MaySend reports whether a request may be sent to the run at now.
func (s *State) MaySend(now time.Time) bool { return !s.Leaving() && !s.InCooldown(now) }
