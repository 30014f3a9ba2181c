package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	restful "github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"

	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/settings"
)

// Request and answer headers with a meaning of their own.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderChatID         = "X-Chat-Id"
	HeaderTarget         = "X-Knapweedgw-Target"
	HeaderPriority       = "Priority"
	HeaderLastEventID    = "Last-Event-ID"
	// HeaderRequestTimeout is the caller's deadline in seconds from now; the
	// time that remains is passed on to the target.
	HeaderRequestTimeout = "Request-Timeout"
	// HeaderResumeHold asks for a stream to be held for that many seconds
	// after its reader went away.
	HeaderResumeHold = "X-Resume-Hold"
	// HeaderReplayed marks an answer that was kept from an earlier request
	// with the same Idempotency-Key.
	HeaderReplayed = "Idempotency-Replayed"
)

// HeaderEndpointState says that a target is leaving; HeaderLoadReport holds
// its load (ORCA). Both go from target to node.
const (
	HeaderEndpointState = "X-Endpoint-State"
	HeaderLoadReport    = "Endpoint-Load-Metrics"
	stateLeaving        = "leaving"
)

// hexBase is the base in which logs show a chat's key.
const hexBase = 16

const (
	settingsRetryAfter = 2 * time.Second
	targetRetryAfter   = time.Second
)

// call is one caller's request as it passes through the gateway.
type call struct {
	id        string
	kind      string
	req       *http.Request
	w         *answerWriter
	workspace settings.WorkspaceRef
	settings  *settings.Snapshot
	chat      uint64 // routing key of the chat, 0 for none
	base      *log.Logger
	timeout   time.Duration // the caller's, 0 for none
	// sent is true once a target may have run the request.
	sent atomic.Bool
	// held is the answer of a target that failed the request, to be delivered if
	// nothing better comes; nil for none.
	held *heldAnswer
	// guarded tells what targets the request ended; nil until it is forwarded.
	guarded *guardedRequest
	// captured is the answer kept for callers that repeat the key; nil
	// unless the request is claimed.
	captured *capture
}

func (g *Gateway) newCall(r *restful.Request, w *restful.Response) *call {
	id := r.Request.Header.Get(HeaderRequestID)
	if !validToken(id, maxRequestID) {
		id = uuid.NewString()
	}
	w.Header().Set(HeaderRequestID, id)
	g.lastCall.Store(time.Now().UnixNano())
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	return &call{
		id: id, kind: kindUnknown, req: r.Request,
		w:    &answerWriter{ResponseWriter: w.ResponseWriter},
		base: g.log,
	}
}

func (g *Gateway) authenticate(c *call) error {
	if c.settings = g.settings.Snapshot(); c.settings == nil {
		return problem.New(problem.NoSettings, problem.RanNo, "").After(settingsRetryAfter)
	}
	key, _ := bearer(c.req)
	ws, ok := c.settings.Workspace(key)
	if !ok {
		return problem.New(problem.Unauthenticated, problem.RanNo, "")
	}
	c.workspace = ws
	return nil
}

// log returns the call's logger. It is built on demand, as most calls log
// nothing.
func (c *call) log() *log.Logger {
	l := c.base.With("request", c.id, "team", c.workspace.Team, "workspace", c.workspace.Name)
	if c.chat != 0 {
		l = l.With("chat", strconv.FormatUint(c.chat, hexBase))
	}
	return l
}

// ran says whether a target may have run the request so far.
func (c *call) ran() problem.Ran {
	if c.sent.Load() {
		return problem.RanUnknown
	}
	return problem.RanNo
}

// workContext is the context of the work at targets. It ends when the caller
// goes away, unless the request may not be repeated: that is seen through to
// its end, so that its outcome is known.
func (c *call) workContext(repeatable bool) (context.Context, context.CancelFunc) {
	ctx := c.req.Context()
	if !repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	timeout := c.timeout
	if timeout == 0 && !repeatable {
		timeout = maxDetached
	}
	if timeout == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout)
}

// maxDetached bounds the work for a caller that may have gone away.
const maxDetached = 10 * time.Minute

func remaining(ctx context.Context, now time.Time) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return retry.NoDeadline
	}
	return deadline.Sub(now)
}

// answerWriter notes what was written of an answer.
type answerWriter struct {
	http.ResponseWriter
	wroteHeader  bool
	wroteProblem bool
	streaming    bool // the answer is a stream of events
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	w.wroteHeader = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.wroteHeader = true
	return w.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController the server's writer.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
