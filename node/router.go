package node

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/dispatch"
	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/replica"
	"github.com/knapweedgw/knapweedgw/router"
	"github.com/knapweedgw/knapweedgw/telemetry"
	"github.com/knapweedgw/knapweedgw/upstream"
)

// Platform contains the parts of a platform's adapter that a router node uses.
type Platform struct {
	Store   replica.Source
	Schema  replica.Schema
	Dialect router.Dialect
	// Seeds returns possible addresses of other nodes; some may be outdated.
	Seeds func() []string
	// DialTarget opens connections to targets; nil for the network.
	DialTarget upstream.DialFunc
}

// routerLogLevel is the level of the log lines that explain failed requests.
const routerLogLevel = "info"

func provideRouterLogger(cfg *config.RouterNode, w io.Writer) (*log.Logger, error) {
	return telemetry.NewLogger(w, routerLogLevel, cfg.NodeID)
}

// provideRegisterer returns the registry as the interface that services use. The
// registry is created before the node, since the log writer has metrics in it too.
func provideRegisterer(reg *prometheus.Registry) prometheus.Registerer { return reg }

// peerIdleTimeout is the time after which an idle connection between router nodes is closed.
// Nodes copy state from whichever node is ahead, in bursts while targets change. With
// a longer time, a node in a fleet of 66 had 93 connections; opening a new one costs
// one round trip.
const peerIdleTimeout = time.Second

func provideRouterHub(cfg *config.RouterNode, l *log.Logger, reg prometheus.Registerer) *peer.Hub {
	hub := peer.NewHub(cfg.PeerListen, l, reg)
	hub.CloseIdleAfter(peerIdleTimeout)
	return hub
}

func provideExchange(
	cfg *config.RouterNode, p Platform, l *log.Logger, reg prometheus.Registerer,
) *heartbeat.Exchange {
	return heartbeat.NewExchange(heartbeat.DefaultConfig(), cfg.PeerListen, p.Seeds, l, reg)
}

func provideReplica(
	p Platform, x *heartbeat.Exchange, hub *peer.Hub, l *log.Logger, reg prometheus.Registerer,
) *replica.Replica {
	return replica.New(p.Store, p.Schema, x, hub, l, reg)
}

func provideRouter(
	cfg *config.RouterNode, p Platform, rep *replica.Replica, x *heartbeat.Exchange, places *dispatch.Service,
	l *log.Logger, reg prometheus.Registerer,
) *router.Router {
	return router.New(cfg, p.Dialect, p.DialTarget, rep, x, places, l, reg)
}

func provideDispatch(
	cfg *config.RouterNode, x *heartbeat.Exchange, hub *peer.Hub, l *log.Logger, reg prometheus.Registerer,
) *dispatch.Service {
	return dispatch.New(dispatch.Config{Domain: cfg.FailureDomain}, x, hub, l, reg)
}

func provideMetricsServer(cfg *config.RouterNode, reg *prometheus.Registry, l *log.Logger) *telemetry.Server {
	return telemetry.NewServer(cfg.MetricsListen, reg, l)
}

// provideRouterKernel registers the services in their start order: the router is
// last, so that it starts to listen after all other services and stops before them.
func provideRouterKernel(
	tel telemetry.Service, srv *telemetry.Server, hub *peer.Hub, x *heartbeat.Exchange,
	rep *replica.Replica, places *dispatch.Service, r *router.Router,
) (*kernel.Kernel, error) {
	return kernel.New(tel, srv, hub, x, rep, places, r)
}
