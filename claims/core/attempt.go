package core

import "time"

// AttemptLimits bounds an Attempt.
type AttemptLimits struct {
	// Wait is the longest wait for a claim.
	Wait time.Duration
	// Life is the age, from the first Ask, beyond which a granted claim may
	// no longer be used to send.
	Life time.Duration
	// Owners is the most nodes asked for one claim.
	Owners int
}

// DefaultAttemptLimits returns the limits used in production.
func DefaultAttemptLimits() AttemptLimits {
	return AttemptLimits{Wait: 2 * time.Second, Life: 5 * time.Second, Owners: 3}
}

// Move is what the entry does next with an attempt.
type Move int

// The moves of an attempt.
const (
	// MoveAsk: ask the next owner.
	MoveAsk Move = iota
	// MoveVerdict: the claim's state is known.
	MoveVerdict
	// MoveRefuse: tell the caller that this attempt was not run.
	MoveRefuse
	// MoveNothing: the attempt is closed; the event is too late.
	MoveNothing
)

// Decision is a Move with what it needs.
type Decision struct {
	Move   Move
	State  State
	Holder Holder
	// Clear means, of MoveRefuse, that no earlier attempt with the key ran the
	// request either.
	Clear bool
	// Abandon means that a record of the attempt may be in the log: an End
	// with NotRun must be recorded.
	Abandon bool
}

type attemptPhase int

const (
	asking attemptPhase = iota
	granted
	closed
)

// Attempt follows one request at its entry node. It sends at most once: only
// after a grant that came before the deadline, and never after its caller was
// told that it was not run.
type Attempt struct {
	Ask Ask

	limits   AttemptLimits
	started  Instant
	deadline Instant
	phase    attemptPhase
	asked    int
	tainted  bool // an owner may have recorded the claim without our knowing
}

// NewAttempt returns an attempt that starts now. The deadline is the
// caller's; Forever if there is none.
func NewAttempt(a Ask, now, deadline Instant, l AttemptLimits) *Attempt {
	return &Attempt{Ask: a, limits: l, started: now, deadline: min(deadline, now+l.Wait)}
}

// Deadline is the time at which the attempt gives up asking.
func (a *Attempt) Deadline() Instant { return a.deadline }

// Asked is the number of owners asked that gave no usable reply.
func (a *Attempt) Asked() int { return a.asked }

// Replied handles an owner's reply.
func (a *Attempt) Replied(now Instant, r Reply) Decision {
	if a.phase != asking {
		return Decision{Move: MoveNothing}
	}
	a.tainted = a.tainted || r.Tainted
	switch {
	case r.Status == Decided && r.State == Granted && now < a.deadline:
		a.phase = granted
		return Decision{Move: MoveVerdict, State: Granted}
	case r.Status == Decided && r.State == Granted:
		a.tainted = true // the claim is ours, but too late
		d := a.close(MoveRefuse)
		d.Clear = true
		return d
	case r.Status == Decided:
		d := a.close(MoveVerdict)
		d.State, d.Holder = r.State, r.Holder
		return d
	default:
		d := a.close(MoveRefuse)
		d.Clear = r.Clear
		return d
	}
}

// Failed handles a call to an owner without a reply. seen says whether the
// owner may have got the Ask.
func (a *Attempt) Failed(now Instant, seen bool) Decision {
	if a.phase != asking {
		return Decision{Move: MoveNothing}
	}
	a.tainted = a.tainted || seen
	a.asked++
	if now < a.deadline && a.asked < a.limits.Owners {
		return Decision{Move: MoveAsk}
	}
	return a.close(MoveRefuse)
}

// GiveUp closes the attempt if it is still asking: its time is over or its
// caller went away. An Ask is taken to be on its way.
func (a *Attempt) GiveUp() Decision {
	if a.phase != asking {
		return Decision{Move: MoveNothing}
	}
	a.tainted = true
	return a.close(MoveRefuse)
}

func (a *Attempt) close(m Move) Decision {
	a.phase = closed
	return Decision{Move: m, Abandon: a.tainted}
}

// Valid says whether the request may be sent.
func (a *Attempt) Valid(now Instant) bool {
	return a.phase == granted && now-a.started < a.limits.Life
}

// Finish ends a granted attempt; ok is false if it had no claim or has ended.
func (a *Attempt) Finish(o Outcome) (e End, ok bool) {
	if a.phase != granted {
		return End{}, false
	}
	a.phase = closed
	return a.End(o), true
}

// End is the record of the attempt's outcome.
func (a *Attempt) End(o Outcome) End {
	return End{Key: a.Ask.Key, Attempt: a.Ask.Attempt, Outcome: o}
}
