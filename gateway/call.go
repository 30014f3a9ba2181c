package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	restful "github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"

	"github.com/knapweedgw/knapweedgw/problem"
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
)

const (
	settingsRetryAfter = 2 * time.Second
	drainRetryAfter    = time.Second
)

// call is one caller's request as it passes through the gateway.
type call struct {
	id        string
	kind      string
	req       *http.Request
	w         http.ResponseWriter
	workspace settings.WorkspaceRef
	settings  *settings.Snapshot
	log       *log.Logger
	start     time.Time
}

type endpoint func(c *call, r *restful.Request) error

// route turns an endpoint into a restful handler that authenticates the
// caller, and writes and counts the refusal an endpoint returns.
func (g *Gateway) route(f endpoint) restful.RouteFunction {
	return func(r *restful.Request, w *restful.Response) {
		g.metrics.inFlight.Inc()
		defer g.metrics.inFlight.Dec()
		c := g.newCall(r, w)
		err := g.authenticate(c)
		if err == nil {
			err = f(c, r)
		}
		g.finish(c, err)
	}
}

func (g *Gateway) newCall(r *restful.Request, w *restful.Response) *call {
	id := r.Request.Header.Get(HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	w.Header().Set(HeaderRequestID, id)
	return &call{
		id: id, kind: "unknown", req: r.Request, w: w.ResponseWriter,
		log: g.log.With("request", id), start: time.Now(),
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
	c.log = c.log.With("team", ws.Team, "workspace", ws.Name)
	return nil
}

func (g *Gateway) finish(c *call, err error) {
	if err == nil {
		g.metrics.requests.WithLabelValues(c.kind, "answered").Inc()
		return
	}
	var p *problem.Problem
	if !errors.As(err, &p) {
		p = problem.New(problem.Internal, problem.RanUnknown, err.Error())
	}
	p.RequestID = c.id
	g.metrics.requests.WithLabelValues(c.kind, "refused").Inc()
	g.metrics.refusals.WithLabelValues(string(p.Reason)).Inc()
	c.log.Warn("refused", "reason", p.Reason, "ran", p.Ran, "detail", p.Detail)
	p.Write(c.w)
}

func (g *Gateway) noRoute(e restful.ServiceError, r *restful.Request, w *restful.Response) {
	p := problem.New(problem.NotFound, problem.RanNo, r.Request.Method+" "+r.Request.URL.Path)
	p.Status = e.Code
	g.metrics.refusals.WithLabelValues(string(p.Reason)).Inc()
	p.Write(w.ResponseWriter)
}

// readBody reads the whole body within the node's size and time limits.
func (g *Gateway) readBody(c *call) ([]byte, error) {
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(time.Now().Add(g.cfg.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.req.Body, g.cfg.MaxBodyBytes))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, problem.New(problem.BodyTooLarge, problem.RanNo, err.Error())
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, problem.New(problem.BodyTimeout, problem.RanNo, "")
	default:
		return nil, problem.New(problem.BadRequest, problem.RanNo, "body: "+err.Error())
	}
}

func bearer(r *http.Request) (string, bool) {
	const scheme = "Bearer "
	h := r.Header.Get("Authorization")
	if len(h) < len(scheme) || h[:len(scheme)] != scheme {
		return "", false
	}
	return h[len(scheme):], true
}
