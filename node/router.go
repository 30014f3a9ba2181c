package node

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/replica"
	"github.com/knapweedgw/knapweedgw/router"
	"github.com/knapweedgw/knapweedgw/telemetry"
)

// Platform is what a router node needs of the platform's adapter.
type Platform struct {
	Store   replica.Source
	Schema  replica.Schema
	Dialect router.Dialect
	// Seeds returns addresses at which other nodes may be.
	Seeds func() []string
}

// routerLogLevel is that of the lines by which a failed request is explained.
const routerLogLevel = "info"

func provideRouterLogger(cfg *config.Router, w io.Writer) (*log.Logger, error) {
	return telemetry.NewLogger(w, routerLogLevel, cfg.NodeID)
}

// provideRegisterer gives the registry, which is made before the node since the
// log's writer counts in it too, under the interface that services want.
func provideRegisterer(reg *prometheus.Registry) prometheus.Registerer { return reg }

// peerIdle is how long a connection between routers is kept without a call. They
// copy from whichever node is ahead, in bursts while targets come and go; a node
// of 66 had 93 connections with a longer time, and a new one costs a round trip.
const peerIdle = time.Second

func provideRouterHub(cfg *config.Router, l *log.Logger, reg prometheus.Registerer) *peer.Hub {
	hub := peer.NewHub(cfg.PeerListen, l, reg)
	hub.CloseIdleAfter(peerIdle)
	return hub
}

func provideExchange(
	cfg *config.Router, p Platform, l *log.Logger, reg prometheus.Registerer,
) *heartbeat.Exchange {
	return heartbeat.NewExchange(heartbeat.DefaultConfig(), cfg.PeerListen, p.Seeds, l, reg)
}

func provideReplica(
	p Platform, x *heartbeat.Exchange, hub *peer.Hub, l *log.Logger, reg prometheus.Registerer,
) *replica.Replica {
	return replica.New(p.Store, p.Schema, x, hub, l, reg)
}

func provideRouter(
	cfg *config.Router, p Platform, rep *replica.Replica, x *heartbeat.Exchange, l *log.Logger, reg prometheus.Registerer,
) *router.Router {
	return router.New(cfg, p.Dialect, rep, x, l, reg)
}

func provideMetricsServer(cfg *config.Router, reg *prometheus.Registry, l *log.Logger) *telemetry.Server {
	return telemetry.NewServer(cfg.MetricsListen, reg, l)
}

// provideRouterKernel registers the services in the order in which they start:
// the router last, so that it listens when all else works, and stops first.
func provideRouterKernel(
	tel telemetry.Service, srv *telemetry.Server, hub *peer.Hub, x *heartbeat.Exchange,
	rep *replica.Replica, r *router.Router,
) (*kernel.Kernel, error) {
	return kernel.New(tel, srv, hub, x, rep, r)
}
