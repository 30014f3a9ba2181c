// Package claims makes a request that carries an Idempotency-Key run at most once across
// all nodes. Before a node sends such a request to a target, it obtains a claim, the
// exclusive right to run it, which is recorded in the platform's store.
//
// The keys are spread over shards. An owner of a shard is a node that records and grants
// its claims. This is normally the primary owner, the node that ranks first for the shard
// by rendezvous hashing; if that can't be reached, another node acts as owner. When a node
// stops, it hands the answers that it keeps for repeated keys over to other nodes, its
// successors; these inherit the answers.
package claims

import (
	"context"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/kernel"
)

// ServiceID is the kernel ID of the service that implements Claimer.
const ServiceID kernel.ID = "claims.claimer"

// Key identifies a request that may run at most once.
type Key struct {
	Team, Workspace string
	// Idempotency is the caller's Idempotency-Key.
	Idempotency string
}

// Fingerprint is a digest of method, path and body. A key that is repeated with another
// fingerprint is a conflict.
type Fingerprint = core.Fingerprint

// State is the recorded state of a claim, as seen by the attempt that asked for it.
type State = core.State

// The states of a claim.
const (
	// Granted means that this attempt holds the claim: it, and no other, may run the
	// request.
	Granted = core.Granted
	// InProgress means that another attempt holds the claim.
	InProgress = core.InProgress
	// Done means that the request was run; the answer may still be kept by a node.
	Done = core.Done
	// Unknown means that an earlier attempt may have run the request; it is not run
	// again.
	Unknown = core.Unknown
	// Mismatch means that the key was used for another request.
	Mismatch = core.Mismatch
)

// Answer is a complete response of a target, kept for callers that repeat the key.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Verdict is the result of a claim.
type Verdict struct {
	State  State
	Ticket Ticket  // set if Granted
	Answer *Answer // set if Done and the answer is still kept
	// RetryAfter is the time after which another Claim may give another verdict; set
	// if InProgress.
	RetryAfter time.Duration
}

// Outcome is how an attempt ended.
type Outcome = core.Outcome

// The outcomes of an attempt.
const (
	// NotRun means that no target ran the request; the key can be claimed again.
	NotRun = core.NotRun
	// Ran means that a target ran the request and returned an answer.
	Ran = core.Ran
	// PossiblyRun means that a target may have run the request.
	PossiblyRun = core.PossiblyRun
)

// Ticket is the right to run a request once.
type Ticket interface {
	// Valid reports whether the request may still be sent; call it right before
	// sending. It returns false once the ticket is older than its limit, for example
	// because the node was frozen for a while.
	Valid() bool
	// Finish records the outcome of the attempt. It doesn't block: the record is
	// written in the background, with retries until it is in the store. answer may
	// be nil.
	Finish(o Outcome, answer *Answer)
}

// Claimer grants claims.
type Claimer interface {
	// Claim asks for the right to run a request. If the claim can't be recorded now,
	// it returns a *problem.Problem: this attempt must not be run. The problem's Ran
	// is "no" if no earlier attempt with the key was run either, else "unknown".
	Claim(ctx context.Context, k Key, f Fingerprint) (Verdict, error)
}
