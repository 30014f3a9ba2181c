// Package router is the front of a node that routes by a platform's catalog:
// it takes callers' requests, picks a target for each, forwards it and relays
// the answer. How callers and targets spell things is left to a Dialect.
package router

import (
	"net/http"
	"time"

	"github.com/knapweedgw/knapweedgw/affinity"
	"github.com/knapweedgw/knapweedgw/notice"
	"github.com/knapweedgw/knapweedgw/problem"
)

// Call is what a caller's header says.
type Call struct {
	// ID names the request; targets repeat it in their answers.
	ID string
	// Key is the caller's API key, empty for none.
	Key string
	// Deadline is how long the caller waits; 0 for unknown.
	Deadline time.Duration
	// Parts are those of the prompt that it shares with other requests, in
	// order.
	Parts []affinity.Part
	// LastEvent is the event after which a stream is to be resumed, empty for
	// a whole stream.
	LastEvent string
}

// Send is what the node adds to a request for a target.
type Send struct {
	// Target is the ID of the target that is meant; another one refuses.
	Target string
	// Remaining is how long the answer is still waited for; 0 for no limit.
	Remaining time.Duration
	// Workspace is the name of the caller's workspace, empty for none.
	Workspace string
	// Priority is the rank of the request at the target, 0 the most urgent.
	Priority int
	// FetchFrom is the ip:port of a target that holds parts of the prompt.
	FetchFrom string
	// LastEvent is the event after which a stream goes on.
	LastEvent string
}

// Reply is what the header of a target's answer says.
type Reply struct {
	// ID is that of the request which the answer belongs to, empty if the
	// target gave none.
	ID string
	// NotRun is the target's word that it did not run the request.
	NotRun bool
	// WrongTarget means that another target has the address now.
	WrongTarget bool
	// Signed answers are a target's own work.
	Signed bool
	// Running is the number of requests in progress at the target, if HasLoad.
	Running int
	HasLoad bool
	// Notice is what the target says of itself besides.
	Notice notice.Notice
}

// isOwn says whether an answer with the given status to the request with the given ID is
// surely by the target that the request was sent to: another process may have its address
// by now, or what comes is a late answer to an earlier request.
func (r Reply) isOwn(status int, id string) bool {
	switch {
	case r.WrongTarget:
		return false
	case r.ID == "":
		return r.NotRun
	case r.ID != id:
		return false
	}
	return r.Signed || status >= http.StatusMultipleChoices
}

// Dialect spells requests and answers as a platform wants them. It decides
// nothing.
type Dialect interface {
	// DecodeCall reads a caller's header.
	DecodeCall(r *http.Request) (Call, error)
	// EncodeSend sets the header of a request to a target from that of the
	// caller's request. It passes on nothing that only the node may set.
	EncodeSend(dst, src http.Header, s Send)
	// DecodeReply reads the header of a target's answer.
	DecodeReply(status int, h http.Header) Reply
	// EncodeAnswer sets the header of the answer to the caller.
	EncodeAnswer(dst, src http.Header)
	// WriteRefusal writes a refusal as the whole answer.
	WriteRefusal(w http.ResponseWriter, p *problem.Problem)
}
