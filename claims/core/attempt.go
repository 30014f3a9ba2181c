package core

import "time"

// AttemptLimits bounds an Attempt.
type AttemptLimits struct {
	// Wait is the longest time that an attempt waits for a claim.
	Wait time.Duration
	// Life is the time from the start of the attempt after which a granted claim no
	// longer permits sending the request.
	Life time.Duration
	// MaxOwners is the maximum number of nodes asked for one claim.
	MaxOwners int
}

// DefaultAttemptLimits returns the limits used in production.
func DefaultAttemptLimits() AttemptLimits {
	return AttemptLimits{Wait: 2 * time.Second, Life: 5 * time.Second, MaxOwners: 3}
}

// Action is the next action for an attempt. The entry node, which received the request
// from the caller, carries it out.
type Action int

// The actions of an attempt.
const (
	// ActionAsk means that the next owner is to be asked.
	ActionAsk Action = iota
	// ActionVerdict means that Decision.State is set.
	ActionVerdict
	// ActionRefuse means that the caller gets a refusal: this attempt was not run.
	ActionRefuse
	// ActionNothing means that the event came too late: the attempt no longer waits
	// for a claim.
	ActionNothing
)

// Decision is an Action with its parameters.
type Decision struct {
	Action Action
	State  State
	Holder Holder
	// NoEarlierRun means, with ActionRefuse, that no earlier attempt with the key ran the
	// request either.
	NoEarlierRun bool
	// MustRecordEnd means that the log may hold a claim of this attempt, which won't be
	// used: an OutcomeRecord with NotRun must be recorded to free the key.
	MustRecordEnd bool
}

type attemptPhase int

const (
	asking attemptPhase = iota
	granted
	closed
)

// Attempt is the state machine of one request at its entry node. It permits sending
// the request only after a grant that came before the deadline, and never after the
// caller got a refusal, so that the request is sent at most once.
type Attempt struct {
	Ask ClaimRequest

	limits        AttemptLimits
	started       Instant
	deadline      Instant
	phase         attemptPhase
	failures      int
	mayBeRecorded bool // an owner may have recorded a claim whose grant did not arrive in time
}

// NewAttempt returns an attempt that starts now. deadline is the caller's, or Forever
// if the caller set none.
func NewAttempt(a ClaimRequest, now, deadline Instant, l AttemptLimits) *Attempt {
	return &Attempt{Ask: a, limits: l, started: now, deadline: min(deadline, now+l.Wait)}
}

// Deadline returns the time at which the attempt stops waiting for a claim.
func (a *Attempt) Deadline() Instant { return a.deadline }

// FailedCalls returns the number of calls to owners that failed.
func (a *Attempt) FailedCalls() int { return a.failures }

// Replied handles the reply of an owner.
func (a *Attempt) Replied(now Instant, r Reply) Decision {
	if a.phase != asking {
		return Decision{Action: ActionNothing}
	}
	a.mayBeRecorded = a.mayBeRecorded || r.MayBeRecorded
	switch {
	case r.Status == Decided && r.State == Granted && now < a.deadline:
		a.phase = granted
		return Decision{Action: ActionVerdict, State: Granted}
	case r.Status == Decided && r.State == Granted:
		a.mayBeRecorded = true // the claim is recorded, but the deadline has passed
		d := a.close(ActionRefuse)
		d.NoEarlierRun = true
		return d
	case r.Status == Decided:
		d := a.close(ActionVerdict)
		d.State, d.Holder = r.State, r.Holder
		return d
	default:
		d := a.close(ActionRefuse)
		d.NoEarlierRun = r.NoEarlierRun
		return d
	}
}

// Failed handles a call to an owner that got no reply. delivered says whether the
// owner may have received the ClaimRequest.
func (a *Attempt) Failed(now Instant, delivered bool) Decision {
	if a.phase != asking {
		return Decision{Action: ActionNothing}
	}
	a.mayBeRecorded = a.mayBeRecorded || delivered
	a.failures++
	if now < a.deadline && a.failures < a.limits.MaxOwners {
		return Decision{Action: ActionAsk}
	}
	return a.close(ActionRefuse)
}

// GiveUp closes an attempt that still waits for a claim, because its deadline has
// passed or its caller disconnected. It assumes that a ClaimRequest is in flight and may still
// be recorded.
func (a *Attempt) GiveUp() Decision {
	if a.phase != asking {
		return Decision{Action: ActionNothing}
	}
	a.mayBeRecorded = true
	return a.close(ActionRefuse)
}

func (a *Attempt) close(m Action) Decision {
	a.phase = closed
	return Decision{Action: m, MustRecordEnd: a.mayBeRecorded}
}

// Valid reports whether the request may be sent now.
func (a *Attempt) Valid(now Instant) bool {
	return a.phase == granted && now-a.started < a.limits.Life
}

// Finish closes a granted attempt and returns the OutcomeRecord; ok is false if the
// attempt has no claim or is closed already.
func (a *Attempt) Finish(o Outcome) (e OutcomeRecord, ok bool) {
	if a.phase != granted {
		return OutcomeRecord{}, false
	}
	a.phase = closed
	return a.End(o), true
}

// End returns the OutcomeRecord of the attempt with the given outcome.
func (a *Attempt) End(o Outcome) OutcomeRecord {
	return OutcomeRecord{Key: a.Ask.Key, Attempt: a.Ask.Attempt, Outcome: o}
}
