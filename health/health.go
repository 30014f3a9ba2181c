// Package health decides from the outcomes of requests which targets are suspended from new
// work. It is pure: the caller passes the time. It does no I/O; the caller opens a trial
// connection to a suspended target when Trial allows it.
package health

import (
	"math"
	"time"
)

// Outcome classifies the result of one exchange with a target.
type Outcome int

// The outcomes of exchanges.
const (
	// Answered is any response that shows that the target works.
	Answered Outcome = iota
	// Failed is a server error, a truncated or invalid response, or no response after the
	// request was sent.
	Failed
	// Unreachable means that no connection could be opened, or that an open one went dead.
	Unreachable
	// Refused means that the target did not run the request because it is full or about to
	// shut down.
	Refused
)

// Config sets when targets are suspended.
type Config struct {
	// Window is the time over which outcomes are counted.
	Window time.Duration
	// MinShare is the minimum share of failures at which a target is suspended.
	MinShare float64
	// Deviations is how many standard deviations a target's failures must exceed the number
	// expected from the rest of its service, plus AllowedFailures: with few requests, one
	// or two failures may be random.
	Deviations, AllowedFailures float64
	// PriorFailures of PriorRequests are added to the counts of the rest of the service, so
	// that a failure rate of zero there is not taken as certain.
	PriorFailures, PriorRequests float64
	// FirstTrial and MaxTrial bound the pause before a trial of an unreachable target; the
	// pause doubles with each failed trial.
	FirstTrial, MaxTrial time.Duration
	// SuspendFor is how long a target that fails or refuses requests stays suspended. A trial, which
	// only opens a connection, succeeds for such targets, so it can't end their suspension.
	SuspendFor time.Duration
}

// DefaultConfig has a window in which a target of a busy service gets about 20 requests, so that
// failures of a fifth of them are distinguishable from random ones.
func DefaultConfig() Config {
	return Config{
		Window: 2 * time.Second, MinShare: 0.15, Deviations: 3, AllowedFailures: 1.5,
		PriorFailures: 2, PriorRequests: 20,
		FirstTrial: 300 * time.Millisecond, MaxTrial: time.Second, SuspendFor: 2 * time.Second,
	}
}

// buckets is the number of parts of a window.
const buckets = 4

// Counts are the numbers of outcomes within one window.
type Counts struct {
	Answered, Failed int
}

// Plus returns the sum of two counts.
func (c Counts) Plus(d Counts) Counts { return Counts{c.Answered + d.Answered, c.Failed + d.Failed} }

func (c Counts) share() float64 {
	if c.Answered+c.Failed == 0 {
		return 0
	}
	return float64(c.Failed) / float64(c.Answered+c.Failed)
}

// Attribute distributes the answers of a service that are missing from its targets' counts.
// Nodes report a target's counts only if they run something there or saw it fail, and
// otherwise only the counts of the service as a whole. Without the distribution, a target that
// failed a few requests of many nodes would appear to have failed most of its requests. targets
// may be a sample of the service's targets; all is the number of them in the service.
func Attribute(targets []Counts, all int, service Counts) {
	if len(targets) == 0 {
		return
	}
	counted := 0
	for _, c := range targets {
		counted += c.Answered
	}
	uncounted := service.Answered - counted*all/len(targets)
	if uncounted <= 0 {
		return
	}
	for i := range targets {
		targets[i].Answered += uncounted / all
	}
}

// State is the health of one target as observed by one node. The zero State is healthy.
type State struct {
	counts [buckets]Counts
	slot   int64 // number of the newest bucket

	unreachable    bool
	pause          time.Duration
	nextTrial      time.Time
	suspendedUntil time.Time
}

func (c Config) slotAt(now time.Time) int64 { return now.UnixNano() / int64(c.Window/buckets) }

func (s *State) roll(c Config, now time.Time) {
	slot := c.slotAt(now)
	if slot-s.slot >= buckets {
		s.counts = [buckets]Counts{}
		s.slot = slot
	}
	for s.slot < slot {
		s.slot++
		s.counts[s.slot%buckets] = Counts{}
	}
}

// Observe records an outcome. It returns true if the target has just become unreachable.
func (s *State) Observe(c Config, o Outcome, now time.Time) bool {
	s.roll(c, now)
	bucket := &s.counts[s.slot%buckets]
	switch o {
	case Answered:
		bucket.Answered++
		s.unreachable = false
		s.pause = 0
	case Failed, Refused:
		bucket.Failed++
	case Unreachable:
		bucket.Failed++
		return s.markUnreachable(c, now)
	}
	return false
}

func (s *State) markUnreachable(c Config, now time.Time) bool {
	changed := !s.unreachable
	s.unreachable = true
	s.pause = min(max(2*s.pause, c.FirstTrial), c.MaxTrial)
	s.nextTrial = now.Add(s.pause)
	return changed
}

// Counts returns the outcomes of the last window.
func (s *State) Counts(c Config, now time.Time) Counts {
	s.roll(c, now)
	var sum Counts
	for _, b := range s.counts {
		sum = sum.Plus(b)
	}
	return sum
}

// Evaluate suspends a target whose failures are significant. fleet is what all nodes together
// counted of the target, service what they counted of its whole service. It returns true if
// the target has just been suspended.
func (s *State) Evaluate(c Config, fleet, service Counts, now time.Time) bool {
	if s.Suspended(now) || !c.significant(fleet, service) {
		return false
	}
	s.suspendedUntil = now.Add(c.SuspendFor)
	return true
}

// significant reports whether a target's failures exceed random variation, given those of its
// whole service.
func (c Config) significant(target, service Counts) bool {
	if target.share() < c.MinShare {
		return false
	}
	failed := float64(service.Failed-target.Failed) + c.PriorFailures
	all := float64(service.Answered-target.Answered) + failed + c.PriorRequests
	expected := float64(target.Answered+target.Failed) * failed / all
	return float64(target.Failed) >= expected+c.Deviations*math.Sqrt(expected)+c.AllowedFailures
}

// Unreachable reports whether the last connection attempt to the target failed.
func (s *State) Unreachable() bool { return s.unreachable }

// Suspended reports whether the target gets no new work at now.
func (s *State) Suspended(now time.Time) bool {
	return s.unreachable || now.Before(s.suspendedUntil)
}

// TrialDue reports whether Trial would return true.
func (s *State) TrialDue(now time.Time) bool { return s.unreachable && !now.Before(s.nextTrial) }

// Trial reports whether a trial connection to an unreachable target may be opened now. If so,
// the next trial is allowed only after the pause.
func (s *State) Trial(now time.Time) bool {
	if !s.TrialDue(now) {
		return false
	}
	s.nextTrial = now.Add(s.pause)
	return true
}

// RecordReachable records that a trial opened a connection.
func (s *State) RecordReachable() {
	s.unreachable = false
	s.pause = 0
}
