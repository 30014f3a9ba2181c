// Package completion decides whether a target's response is complete, although its body was read to the
// end. The decision is a pure function of how the body is framed, how its transfer ended, where in a
// stream of events it ended, and what is known of the target.
package completion

import (
	"net/http"

	"github.com/knapweedgw/knapweedgw/sse"
)

// Framing is what tells the end of a body (RFC 9112, section 6.3).
type Framing string

// The framings.
const (
	ByLength Framing = "length"
	ByChunks Framing = "chunked"
	// ByClose: the body has neither a length nor chunks and ends with its connection.
	ByClose Framing = "close"
)

// FramingOf returns the framing of a response's body.
func FramingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return ByChunks
	case resp.ContentLength >= 0, hasNoBody(resp):
		return ByLength
	}
	return ByClose
}

func hasNoBody(resp *http.Response) bool {
	head := resp.Request != nil && resp.Request.Method == http.MethodHead
	return head || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

// Target is what is known of a target after it has ended a connection.
type Target int

const (
	// TargetNotProbed: it wasn't tried whether the target accepts connections.
	TargetNotProbed Target = iota
	// TargetUnclear: it was tried without a result.
	TargetUnclear
	// TargetAccepts: the target accepts connections.
	TargetAccepts
	// TargetTerminated: the target refuses connections, or another run has taken its place.
	TargetTerminated
	// TargetLeaves: the target had announced that it leaves, so it may refuse connections in order.
	TargetLeaves
)

// Ending is how the transfer of a body ended.
type Ending struct {
	Framing Framing
	// Failed means that reading the body failed.
	Failed bool
	// Events means that the body is a stream of events, which ended at Position.
	Events   bool
	Position sse.Position
	// Resumed means that the caller asked for the events after a certain one, of which there may be none.
	Resumed bool
	Target  Target
}

// Verdict is the decision on a response.
type Verdict int

// The verdicts.
const (
	Complete Verdict = iota
	Truncated
	// ProbeTarget means that it depends on whether the target still accepts connections.
	ProbeTarget
)

// Reason is the reason of a verdict, for logs and metrics.
type Reason string

// The reasons.
const (
	ReadFailed  Reason = "read_failed"
	InsideEvent Reason = "inside_event"
	Framed      Reason = "framed"
	NoEvent     Reason = "no_event"
	Leaves      Reason = "target_leaves"
	NotProbed   Reason = "target_not_probed"
	Terminated  Reason = "target_terminated"
	Accepts     Reason = "target_accepts"
	Unclear     Reason = "target_unclear"
)

// Decide decides whether a response is complete. A body that ends with its connection is taken for
// complete unless something speaks against it: the bytes alone can't tell an end between two events, or
// of a plain body, from a truncation by a target that lives on.
func Decide(e Ending) (Verdict, Reason) {
	switch {
	case e.Failed:
		return Truncated, ReadFailed
	case e.Events && e.Position == sse.Inside:
		return Truncated, InsideEvent
	case e.Framing != ByClose:
		return Complete, Framed
	case e.Events && e.Position == sse.BeforeFirst && !e.Resumed:
		return Truncated, NoEvent
	}
	switch e.Target {
	case TargetLeaves:
		return Complete, Leaves
	case TargetNotProbed:
		return ProbeTarget, NotProbed
	case TargetTerminated:
		return Truncated, Terminated
	case TargetAccepts:
		return Complete, Accepts
	}
	return Complete, Unclear
}
