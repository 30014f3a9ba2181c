// Package retry decides whether a failed attempt may be retried. The decision is a pure
// function of its arguments.
package retry

import (
	"math"
	"time"
)

// Progress is how far an attempt got before it failed.
type Progress int

// The values of Progress, in ascending order.
const (
	// NotSent means that no byte of the request reached the target.
	NotSent Progress = iota
	// Refused means that the target reported that it did not run the request.
	Refused
	// Sent means that the target may have run the request.
	Sent
	// Delivered means that part of the response reached the caller.
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
	// MinRemaining is the minimum remaining time for another attempt.
	MinRemaining time.Duration
}

// Verdict is the decision on a retry and, if it is denied, the reason.
type Verdict int

// The verdicts.
const (
	// Allow allows another attempt.
	Allow Verdict = iota
	// NotRepeatable means that the target may have run a request that must not run twice.
	NotRepeatable
	// AlreadyDelivered means that part of the response has reached the caller.
	AlreadyDelivered
	// AttemptsUsed means that the maximum number of attempts is reached.
	AttemptsUsed
	// DeadlineNear means that too little time remains before the deadline.
	DeadlineNear
	// BudgetEmpty means that the node's retry budget is used up.
	BudgetEmpty
)

// Decide reports whether another attempt is safe and within the limits; the caller checks the
// budget. Safety is checked before the limits, so that the verdict gives the stronger reason.
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
		return Allow
	}
}

// DrawsOnBudget reports whether a retry after p draws on the budget. An attempt that never
// reached a target put no load on it, so only the maximum number of attempts limits such retries.
func DrawsOnBudget(p Progress) bool { return p != NotSent }
