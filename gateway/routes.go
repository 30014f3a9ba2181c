package gateway

import (
	"net/http"

	"github.com/cockroachdb/errors"
	restful "github.com/emicklei/go-restful/v3"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/knapweedgw/knapweedgw/intake"
	"github.com/knapweedgw/knapweedgw/problem"
)

const (
	chatPath      = "/v1/chat/completions"
	servicePrefix = "/services/"
	anyType       = "*/*"
)

type endpoint func(c *call, r *restful.Request) error

// Handler returns the HTTP handler for all paths of the gateway.
func (g *Gateway) Handler() http.Handler {
	c := restful.NewContainer()
	// Requests and responses may have any content type. Without this, go-restful refuses a
	// request that has an Accept header.
	ws := new(restful.WebService).Consumes(anyType).Produces(anyType)
	ws.Route(ws.POST(chatPath).To(g.route(g.serveChat)))
	ws.Route(ws.GET("/v1/models").To(g.route(g.serveModels)))
	for _, method := range serviceMethods {
		ws.Route(ws.Method(method).Path(servicePrefix + "{name}").To(g.route(g.serveService)))
		ws.Route(ws.Method(method).Path(servicePrefix + "{name}/{path:*}").To(g.route(g.serveService)))
	}
	ws.Route(ws.GET("/healthz").To(g.healthz))
	ws.Route(ws.GET("/readyz").To(g.readyz))
	metrics := promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{})
	ws.Route(ws.GET("/metrics").To(func(r *restful.Request, w *restful.Response) {
		metrics.ServeHTTP(w.ResponseWriter, r.Request)
	}))
	c.Add(ws)
	c.ServiceErrorHandler(g.noRoute)
	// Dispatch bypasses the container's ServeMux, which redirects paths that aren't clean.
	return http.HandlerFunc(c.Dispatch)
}

// route returns a restful handler that validates the header, authenticates the caller, calls f,
// recovers from panics, and writes and counts the refusal that f returns.
func (g *Gateway) route(f endpoint) restful.RouteFunction {
	return func(r *restful.Request, w *restful.Response) {
		g.metrics.inFlight.Inc()
		defer g.metrics.inFlight.Dec()
		c := g.newCall(r, w)
		defer g.recover(c)
		err := g.checkHeader(c)
		if err == nil {
			err = g.authenticate(c)
		}
		if err == nil {
			intake.Of(c.w, c.req).Join(c.workspace.Team + "/" + c.workspace.Name)
		}
		if err == nil {
			err = f(c, r)
		}
		g.finish(c, err)
	}
}

// recover turns a panic into a refusal. It re-panics with http.ErrAbortHandler, which closes the
// connection, in two cases: if a relay panicked with it because it can't complete its response,
// and if a response other than a stream had already begun.
func (g *Gateway) recover(c *call) {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		g.metrics.requests.WithLabelValues(c.kind, outcomeAborted).Inc()
		panic(http.ErrAbortHandler)
	}
	g.metrics.panics.Inc()
	c.log().Error("panic", "value", v)
	g.finish(c, problem.New(problem.Internal, c.ran(), ""))
	if c.w.streaming {
		return
	}
	if c.w.wroteHeader && !c.w.wroteProblem {
		panic(http.ErrAbortHandler)
	}
}

// finish counts the call and writes the refusal err. If a stream has already begun, the refusal
// is its last event; if another response has, nothing is written.
func (g *Gateway) finish(c *call, err error) {
	if err == nil {
		c.w.setDeadline() // the server writes the end of the response after the handler returns
		g.metrics.requests.WithLabelValues(c.kind, outcomeAnswered).Inc()
		return
	}
	var p *problem.Problem
	if !errors.As(err, &p) {
		p = problem.New(problem.Internal, c.ran(), err.Error())
	}
	p.RequestID = c.id
	g.metrics.requests.WithLabelValues(c.kind, outcomeRefused).Inc()
	g.metrics.refusals.WithLabelValues(string(p.Reason)).Inc()
	c.log().Warn("refused", "reason", p.Reason, "ran", p.Execution, "detail", p.Detail)
	switch {
	case !c.w.wroteHeader:
		c.w.wroteProblem = true
		request := intake.Of(c.w, c.req)
		request.PrepareRefusal(c.w.Header())
		p.Write(c.w)
		request.Linger()
	case c.w.streaming:
		_, _ = c.w.Write(p.SSEEvent())
	}
}

func (g *Gateway) noRoute(e restful.ServiceError, r *restful.Request, w *restful.Response) {
	reason := problem.NotFound
	if e.Code == http.StatusMethodNotAllowed {
		reason = problem.MethodNotAllowed
	}
	for name, values := range e.Header {
		w.Header()[name] = values
	}
	g.metrics.refusals.WithLabelValues(string(reason)).Inc()
	problem.New(reason, problem.NotRun, r.Request.Method+" "+r.Request.URL.Path).Write(w.ResponseWriter)
}

func (g *Gateway) healthz(_ *restful.Request, w *restful.Response) {
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) readyz(_ *restful.Request, w *restful.Response) {
	if g.draining.Load() || g.settings.Snapshot() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
