// Package router serves callers' requests with the targets of a platform's catalog: it reads a
// request, picks a target, forwards the request and relays the answer. A Dialect encodes and
// decodes the platform's HTTP headers.
package router

import (
	"net/http"
	"time"

	"github.com/knapweedgw/knapweedgw/affinity"
	"github.com/knapweedgw/knapweedgw/notice"
	"github.com/knapweedgw/knapweedgw/problem"
)

// CallerHeader is the decoded header of a caller's request.
type CallerHeader struct {
	// ID identifies the request; targets repeat it in their answers.
	ID string
	// Key is the caller's API key, empty for none.
	Key string
	// Deadline is how long the caller waits; 0 if unknown.
	Deadline time.Duration
	// PromptParts are the segments of the prompt that it shares with other requests, in order.
	PromptParts []affinity.Part
	// LastEventID is the ID of the event after which a stream is to be resumed, empty for the
	// complete stream.
	LastEventID string
	// Resumes is the ID of the request that got the first event of the stream to be resumed, empty
	// if the caller names none.
	Resumes string
}

// TargetHeader holds the values that the node adds to the header of a request to a target.
type TargetHeader struct {
	// Target is the ID of the intended target; any other target refuses the request.
	Target string
	// Remaining is how long the answer is still waited for; 0 for no limit.
	Remaining time.Duration
	// Workspace is the name of the caller's workspace, empty for none.
	Workspace string
	// Priority is the rank of the request at the target; 0 is the most urgent.
	Priority int
	// FetchFrom is the ip:port of another target that holds parts of the prompt.
	FetchFrom string
	// LastEventID is the ID of the event after which the stream continues.
	LastEventID string
}

// ReplyHeader is the decoded header of a target's answer.
type ReplyHeader struct {
	// ID is the ID of the request that the answer belongs to, empty if the target sent none.
	ID string
	// NotRun means that the target states that it did not run the request.
	NotRun bool
	// WrongTarget means that another target has the address now.
	WrongTarget bool
	// Signed means that the answer has the target's signature: the target itself produced it.
	Signed bool
	// Running is the number of requests in progress at the target, valid if HasLoad.
	Running int
	HasLoad bool
	// RejectionLimit is the number of requests that the target may reject in a second for want of
	// capacity before it terminates, valid if HasRejectionLimit.
	RejectionLimit    int
	HasRejectionLimit bool
	// Notice is what the target announces about itself: that it is leaving or wants no requests
	// for some time.
	Notice notice.Notice
}

// isFromTarget reports whether an answer with the given status certainly comes from the target
// that the request with the given ID was sent to. Another process may have its address by now,
// or the answer may be a late one to an earlier request.
func (r ReplyHeader) isFromTarget(status int, id string) bool {
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

// Dialect encodes and decodes requests and answers for a platform. It contains no routing
// policy.
type Dialect interface {
	// DecodeCallerHeader decodes the header of a caller's request.
	DecodeCallerHeader(r *http.Request) (CallerHeader, error)
	// EncodeTargetHeader sets the header of a request to a target from that of the caller's
	// request, without the headers that only the node may set.
	EncodeTargetHeader(dst, src http.Header, s TargetHeader)
	// DecodeReplyHeader decodes the header of a target's answer.
	DecodeReplyHeader(status int, h http.Header) ReplyHeader
	// EncodeReplyHeader sets the header of the answer to the caller.
	EncodeReplyHeader(dst, src http.Header)
	// WriteRefusal writes a refusal as the complete answer.
	WriteRefusal(w http.ResponseWriter, p *problem.Problem)
}
