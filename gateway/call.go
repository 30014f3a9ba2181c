package gateway

import (
	"context"
	"net/http"
	"slices"
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

// Request and response headers that the gateway interprets.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderChatID         = "X-Chat-Id"
	HeaderTarget         = "X-Knapweedgw-Target"
	HeaderPriority       = "Priority"
	HeaderLastEventID    = "Last-Event-ID"
	// HeaderRequestTimeout is the caller's timeout in seconds. The time that remains is
	// forwarded to the target.
	HeaderRequestTimeout = "Request-Timeout"
	// HeaderResumeHold asks the engine to keep a stream for that many seconds after its reader
	// disconnected, so that it can be resumed.
	HeaderResumeHold = "X-Resume-Hold"
	// HeaderReplayed marks a stored response to an earlier request with the same
	// Idempotency-Key.
	HeaderReplayed = "Idempotency-Replayed"
)

// HeaderEndpointState announces that a target is about to stop; HeaderLoadReport holds its load
// in the ORCA format. Both are sent by targets to nodes only.
const (
	HeaderEndpointState = "X-Endpoint-State"
	HeaderLoadReport    = "Endpoint-Load-Metrics"
	stateLeaving        = "leaving"
)

// hexBase is the base in which logs show a chat's routing key.
const hexBase = 16

const (
	settingsRetryAfter = 2 * time.Second
	targetRetryAfter   = time.Second
)

// call is the state of one caller's request in the gateway.
type call struct {
	id        string
	kind      string
	req       *http.Request
	w         *responseWriter
	workspace settings.WorkspaceRef
	settings  *settings.Snapshot
	chat      uint64 // routing key of the chat, 0 for none
	base      *log.Logger
	timeout   time.Duration // from Request-Timeout, 0 for none
	// sent is true once a target may have run the request.
	sent atomic.Bool
	// held is a target's own failure response. It is delivered if no later attempt gets a
	// response; nil for none.
	held *heldResponse
	// guarded reports the request's attempts to the quarantine guard; nil until it is forwarded.
	guarded *guardedRequest
	// captured collects the response to store for repeated requests with the same
	// Idempotency-Key; nil unless the request is claimed.
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
		w:    &responseWriter{ResponseWriter: w.ResponseWriter, timeout: g.writeTimeout},
		base: g.log,
	}
}

func (g *Gateway) authenticate(c *call) error {
	if c.settings = g.settings.Snapshot(); c.settings == nil {
		return problem.New(problem.NoSettings, problem.NotRun, "").WithRetryAfter(settingsRetryAfter)
	}
	key, _ := bearerToken(c.req)
	ws, ok := c.settings.Workspace(key)
	if !ok {
		return problem.New(problem.Unauthenticated, problem.NotRun, "")
	}
	c.workspace = ws
	return nil
}

// log returns the call's logger. It is built on demand because most calls log nothing.
func (c *call) log() *log.Logger {
	l := c.base.With("request", c.id, "team", c.workspace.Team, "workspace", c.workspace.Name)
	if c.chat != 0 {
		l = l.With("chat", strconv.FormatUint(c.chat, hexBase))
	}
	return l
}

// ran states whether a target may have run the request so far.
func (c *call) ran() problem.Execution {
	if c.sent.Load() {
		return problem.MayHaveRun
	}
	return problem.NotRun
}

// workContext returns the context of the work at targets. It ends when the caller disconnects,
// unless the request isn't repeatable: such a request runs to its end, bounded by its own
// timeout or else by detachedTimeout, so that its outcome is known.
func (c *call) workContext(repeatable bool) (context.Context, context.CancelFunc) {
	ctx := c.req.Context()
	if !repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	timeout := c.timeout
	if timeout == 0 && !repeatable {
		timeout = detachedTimeout
	}
	if timeout == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout)
}

// detachedTimeout bounds a request that continues after its caller disconnected and that has no
// timeout of its own.
const detachedTimeout = 10 * time.Minute

func remaining(ctx context.Context, now time.Time) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return retry.NoDeadline
	}
	return deadline.Sub(now)
}

// writePart is the most that is written within one timeout, in bytes: a caller that reads slowly
// gets a large response as long as it reads at all.
const writePart = 32 << 10

// responseWriter tracks what was written of a response, and bounds how long the caller may not read
// it: until it is written, it holds memory and mostly a place on a target.
type responseWriter struct {
	http.ResponseWriter
	timeout      time.Duration // of the write of writePart bytes
	wroteHeader  bool
	status       int // of the written header
	wroteProblem bool
	streaming    bool // the response is an event stream
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.wroteHeader, w.status = true, status
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.wroteHeader = true
	if len(p) == 0 {
		return w.ResponseWriter.Write(p)
	}
	written := 0
	for part := range slices.Chunk(p, writePart) {
		w.setDeadline()
		n, err := w.ResponseWriter.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// setDeadline sets the deadline of the next write. Each write needs a new one: a stream may pause
// for longer than the write timeout, and an expired deadline would lose the next burst of events or
// the final error event. net/http clears the deadline before the connection's next request.
func (w *responseWriter) setDeadline() {
	// Ignored: a writer without deadlines waits until the caller disconnects.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.timeout))
}

// Unwrap returns the server's writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
