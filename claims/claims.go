// Package claims makes a request that carries an Idempotency-Key run at most
// once across the fleet. A claim is recorded in the platform's store before
// the request is sent to a target.
package claims

import (
	"context"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/kernel"
)

// ServiceID is the kernel name of the service that implements Claimer.
const ServiceID kernel.ID = "claims.claimer"

// Key identifies a request that may run at most once.
type Key struct {
	Team, Workspace string
	// Idempotency is the caller's Idempotency-Key.
	Idempotency string
}

// Fingerprint is a digest of method, path and body; a key that comes back
// with another fingerprint is a conflict.
type Fingerprint = core.Fingerprint

// State is what is recorded of a claim.
type State = core.State

// The states of a claim.
const (
	// Granted means that this attempt, and no other, may run the request.
	Granted = core.Granted
	// InProgress means that another attempt holds the claim.
	InProgress = core.InProgress
	// Done means that the request was run; the answer may still be held.
	Done = core.Done
	// Unknown means that an earlier attempt may have run the request.
	Unknown = core.Unknown
	// Mismatch means that the key was used for another request.
	Mismatch = core.Mismatch
)

// Answer is a whole answer, kept for callers that repeat the key.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Verdict is the result of a claim.
type Verdict struct {
	State  State
	Ticket Ticket  // set if Granted
	Answer *Answer // set if Done and the answer is still held
	// RetryAfter says when asking again may give another verdict.
	RetryAfter time.Duration
}

// Outcome is how an attempt ended.
type Outcome = core.Outcome

// The outcomes of an attempt.
const (
	// NotRun means that no target ran the request; the key is free again.
	NotRun = core.NotRun
	// Ran means that a target ran the request and answered.
	Ran = core.Ran
	// Lost means that a target may have run the request.
	Lost = core.Lost
)

// Ticket is the right to run a request once.
type Ticket interface {
	// Valid says whether the request may still be sent. It is false once the
	// ticket has aged beyond its limit, for example after the node was
	// frozen; call it right before sending.
	Valid() bool
	// Finish records how the attempt ended. It doesn't block; the record is
	// written in the background until it is kept. answer may be nil.
	Finish(o Outcome, answer *Answer)
}

// Claimer grants claims.
type Claimer interface {
	// Claim asks for the right to run a request. If the claim can't be
	// recorded now it returns a *problem.Problem: this attempt must not be
	// run, and ran is "no" if no earlier one with the key was run either, else
	// "unknown".
	Claim(ctx context.Context, k Key, f Fingerprint) (Verdict, error)
}
