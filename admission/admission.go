// Package admission decides which target runs a request, so that no target's load exceeds a
// configured multiple of the mean load.
package admission

import (
	"context"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/targets"
)

// ServiceID is the kernel name of the service that implements Admitter.
const ServiceID kernel.ID = "admission.admitter"

// Request asks for a place on a target of a pool: the right to run one request on that
// target.
type Request struct {
	ID        string
	Chat      uint64 // routing key: requests of one chat share it
	Workspace settings.WorkspaceRef
	Priority  int // urgency as in RFC 9218: 0 highest to 7 lowest
	Pool      settings.ResolvedPool
	Exclude   []string // IDs of targets already tried
	// Returning is set if the chat has had an answer before.
	Returning bool
}

// Result is how a request ended on its target. Targets whose requests fail are suspended.
type Result = cell.Result

// Results of a request; see package cell.
const (
	Answered   = cell.Answered
	Failed     = cell.Failed
	Unknown    = cell.Unknown
	Overloaded = cell.Overloaded
)

// Grant is a place on a target. Release must be called once the target no longer works on
// the request; a second call does nothing.
type Grant struct {
	Target  targets.Target
	Release func(Result)
}

// Admitter grants places.
type Admitter interface {
	// Acquire returns a place or a *problem.Problem with ran "no".
	Acquire(ctx context.Context, r Request) (Grant, error)
}
