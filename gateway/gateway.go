// Package gateway is the node's HTTP front: it checks a caller's request,
// obtains a place on a target, forwards the request and relays the answer.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	restful "github.com/emicklei/go-restful/v3"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/knapweedgw/knapweedgw/admission"
	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/settings"
)

// ServiceID is the kernel name of the Gateway.
const ServiceID kernel.ID = "gateway.http"

const (
	headerReadTimeout  = 5 * time.Second
	maxHeaderBytes     = 32 << 10
	idleTimeout        = 2 * time.Minute
	idleConnsPerTarget = 64
)

// SettingsSource gives the settings in force; nil before the first.
type SettingsSource interface{ Snapshot() *settings.Snapshot }

// Gateway serves callers.
type Gateway struct {
	cfg      *config.Node
	log      *log.Logger
	registry *prometheus.Registry
	metrics  *metrics
	client   *http.Client

	settings SettingsSource
	admitter admission.Admitter

	server   *http.Server
	draining atomic.Bool
}

// New returns a gateway that will listen on cfg.Listen.
func New(cfg *config.Node, l *log.Logger, reg *prometheus.Registry) *Gateway {
	return &Gateway{
		cfg: cfg, log: l, registry: reg, metrics: newMetrics(reg),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnsPerTarget,
			DisableCompression:  true,
		}},
	}
}

// ID implements kernel.Service.
func (g *Gateway) ID() kernel.ID { return ServiceID }

// Provision implements kernel.Provisioner.
func (g *Gateway) Provision(k *kernel.Kernel) error {
	var err error
	if g.settings, err = kernel.Lookup[SettingsSource](k, settings.ServiceID); err != nil {
		return err
	}
	g.admitter, err = kernel.Lookup[admission.Admitter](k, admission.ServiceID)
	return err
}

// Start implements kernel.Starter: it listens before it returns.
func (g *Gateway) Start(context.Context) error {
	ln, err := net.Listen("tcp", g.cfg.Listen)
	if err != nil {
		return errors.WithHint(errors.Wrap(err, "gateway: listen"), "set --listen to a free ip:port of this VM")
	}
	g.server = &http.Server{
		Handler:           g.Handler(),
		ReadHeaderTimeout: headerReadTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
	}
	go func() {
		if err := g.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("gateway stopped", "err", err)
		}
	}()
	g.log.Info("gateway listens", "addr", ln.Addr().String())
	return nil
}

// Stop implements kernel.Stopper: it fails readiness, waits the grace time
// for the balancer, then waits until every request in progress has ended.
func (g *Gateway) Stop(ctx context.Context) error {
	g.draining.Store(true)
	g.log.Info("gateway drains")
	sleep(ctx, g.cfg.DrainGrace)
	return g.server.Shutdown(ctx)
}

// Handler returns the routes.
func (g *Gateway) Handler() http.Handler {
	c := restful.NewContainer()
	ws := new(restful.WebService)
	ws.Route(ws.POST("/v1/chat/completions").To(g.route(g.serveChat)))
	ws.Route(ws.GET("/v1/models").To(g.route(g.serveModels)))
	for _, method := range serviceMethods {
		ws.Route(ws.Method(method).Path("/services/{name}/{path:*}").To(g.route(g.serveService)))
	}
	ws.Route(ws.GET("/healthz").To(g.healthz))
	ws.Route(ws.GET("/readyz").To(g.readyz))
	ws.Route(ws.GET("/metrics").To(func(r *restful.Request, w *restful.Response) {
		promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{}).ServeHTTP(w.ResponseWriter, r.Request)
	}))
	c.Add(ws)
	c.ServiceErrorHandler(g.noRoute)
	return c
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
