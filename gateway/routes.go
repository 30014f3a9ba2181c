package gateway

import (
	"net/http"

	"github.com/cockroachdb/errors"
	restful "github.com/emicklei/go-restful/v3"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/knapweedgw/knapweedgw/problem"
)

const (
	chatPath      = "/v1/chat/completions"
	servicePrefix = "/services/"
	anyType       = "*/*"
)

type endpoint func(c *call, r *restful.Request) error

// Handler returns the routes.
func (g *Gateway) Handler() http.Handler {
	c := restful.NewContainer()
	// Bodies and answers of any type pass; without this, go-restful refuses
	// a request that has an Accept header.
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
	// Dispatch skips the container's ServeMux, which answers an unclean path
	// with a redirect.
	return http.HandlerFunc(c.Dispatch)
}

// route turns an endpoint into a restful handler that authenticates the
// caller, recovers from panics, and writes and counts the refusal an endpoint
// returns.
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
			err = f(c, r)
		}
		g.finish(c, err)
	}
}

// recover turns a panic into a refusal. http.ErrAbortHandler, by which a
// relay closes the connection of an answer that it can't complete, passes.
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

// finish writes the refusal err, unless the answer has begun: then a stream
// is ended with an error event.
func (g *Gateway) finish(c *call, err error) {
	if err == nil {
		if c.w.streaming {
			g.limitWrite(c) // the server writes the end of a stream after this
		}
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
	c.log().Warn("refused", "reason", p.Reason, "ran", p.Ran, "detail", p.Detail)
	switch {
	case !c.w.wroteHeader:
		c.w.wroteProblem = true
		p.Write(c.w)
	case c.w.streaming:
		g.limitWrite(c)
		_, _ = c.w.Write(p.Event())
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
	problem.New(reason, problem.RanNo, r.Request.Method+" "+r.Request.URL.Path).Write(w.ResponseWriter)
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
