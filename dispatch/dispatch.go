// Package dispatch grants the places of services with few targets. One live node per cell of a
// service's targets, the owner, counts all places and lets requests wait in order; the other nodes
// ask it. The decisions are those of admission/cell; this package has the messages between nodes,
// the choice of owners and what happens when one fails.
package dispatch

import (
	"context"
	"time"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/peer"
)

// maxPlacesPerNode is the number of places per node below which a service is dispatched. Below it,
// the requests that nodes start unseen by each other between two reports can fill more than half
// of the places, so that counts don't tell which place is free.
const maxPlacesPerNode = 2

// CalledFor reports whether requests to a service are dispatched by owners. places is the number of
// requests that its targets process at a time, and nodes the number of known nodes. Services with
// prompt routing are placed by the prompt parts that their targets cache instead.
func CalledFor(places, nodes int, promptRouting bool) bool {
	return !promptRouting && places > 0 && places < maxPlacesPerNode*nodes
}

// Fleet provides the view of the live nodes.
type Fleet interface {
	// Self is the address of this node and the number of its run.
	Self() (node string, incarnation int64)
	// Owners returns up to limit live nodes, this one included unless it is leaving, in the
	// rendezvous order of key.
	Owners(key uint64, limit int) []string
	// LiveAddresses returns the other live nodes.
	LiveAddresses() []string
	IsLive(node string) bool
	// HeardAt returns when the last message of a node arrived, zero for never.
	HeardAt(node string) time.Time
	// FleetSize is the number of nodes, this one included, that are live or were in the last minute.
	FleetSize() int
}

// Network carries calls between nodes; see peer.Hub.
type Network interface {
	Handle(method string, f peer.Handler)
	LimitConcurrency(method string, limit int)
	Call(ctx context.Context, addr, method string, params, result any) error
	Notify(ctx context.Context, addr, method string, params any) error
}

// Directory is this node's view of the services' targets. Its methods are safe for concurrent use.
type Directory interface {
	// Targets returns the targets of a service that may get requests, and whether the service is
	// dispatched.
	Targets(service string) (targets []cell.Target, dispatched bool)
	// Services returns the dispatched services.
	Services() []string
	// CountedRunning returns the number of requests that heartbeats of the other nodes report in
	// progress at a target.
	CountedRunning(service, target string) int
}

// Request asks for a place.
type Request struct {
	Service, Workspace string
	// Urgency is the rank of the request's priority; 0 is the most urgent.
	Urgency int
	// Remaining is the time until the caller's deadline; 0 means no limit. Work is the time that few
	// requests like this one take, 0 if unknown.
	Remaining, Work time.Duration
	// Exclude are the IDs of targets that may not be granted.
	Exclude []string
}

// Outcome is the kind of an Answer.
type Outcome int

// Outcomes of Service.Acquire.
const (
	// Granted: the Answer has a Place.
	Granted Outcome = iota
	// Refused: the owner refused the request.
	Refused
	// Unavailable: no owner answered in time, or none can decide; the node decides by its counts.
	Unavailable
	// Canceled: the context ended first.
	Canceled
)

// Answer is the result of Service.Acquire.
type Answer struct {
	Outcome Outcome
	Place   *Place
	// Reason and RetryAfter are set if the request was refused.
	Reason     cell.Reason
	RetryAfter time.Duration
	// Owner is the node that decided or was asked last, Waited the time in its queue as far as it
	// answered, and Why the reason for Unavailable.
	Owner  string
	Waited time.Duration
	Why    string
}
