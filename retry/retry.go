// Package retry decides whether a failed attempt may be tried again. The
// decision is pure: the caller passes what it knows.
package retry

import (
	"math"
	"time"
)

// Progress says how far an attempt got before it failed.
type Progress int

// How far an attempt got, least first.
const (
	// NotSent means that no byte of the request reached the target.
	NotSent Progress = iota
	// Refused means that the target said it did not run the request.
	Refused
	// Sent means that the target may have run the request.
	Sent
	// Delivered means that part of the answer reached the caller.
	Delivered
)

// NoDeadline is the time remaining of a request without a deadline.
const NoDeadline = time.Duration(math.MaxInt64)

// Attempt is a failed attempt.
type Attempt struct {
	Number     int // 1 for the first
	Progress   Progress
	Repeatable bool          // the request may run more than once
	Remaining  time.Duration // until the caller's deadline, or NoDeadline
}

// Limits bound the attempts of one request.
type Limits struct {
	MaxAttempts int
	// MinRemaining is the least time worth another attempt.
	MinRemaining time.Duration
}

// Verdict says whether to try again and, if not, why.
type Verdict int

// The verdicts.
const (
	// Again allows another attempt.
	Again Verdict = iota
	// NotRepeatable means that the target may have run a request that must
	// not run twice.
	NotRepeatable
	// AlreadyDelivered means that part of the answer is with the caller.
	AlreadyDelivered
	// AttemptsUsed means that the cap on attempts is reached.
	AttemptsUsed
	// DeadlineNear means that too little time remains.
	DeadlineNear
	// BudgetEmpty means that the node's retry budget is used up.
	BudgetEmpty
)

// Decide says whether another attempt does no harm, the budget aside. Harm to
// the request is checked before the limits, so that the verdict names the
// stronger reason.
func Decide(a Attempt, l Limits) Verdict {
	switch {
	case a.Progress >= Delivered:
		return AlreadyDelivered
	case a.Progress >= Sent && !a.Repeatable:
		return NotRepeatable
	case a.Number >= l.MaxAttempts:
		return AttemptsUsed
	case a.Remaining < l.MinRemaining:
		return DeadlineNear
	default:
		return Again
	}
}

// Charged says whether a retry after p draws on the budget. An attempt that
// never reached a target put no load on it, so that it is bounded by the cap
// on attempts alone.
func Charged(p Progress) bool { return p != NotSent }
