package node

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/dispatch"
	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/reachability"
	"github.com/knapweedgw/knapweedgw/replica"
	"github.com/knapweedgw/knapweedgw/resumption"
	"github.com/knapweedgw/knapweedgw/router"
	"github.com/knapweedgw/knapweedgw/telemetry"
	"github.com/knapweedgw/knapweedgw/tunnel"
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

// targetDial opens connections to targets over this node's own network path.
type targetDial upstream.DialFunc

func provideTargetDial(p Platform) targetDial {
	if p.DialTarget != nil {
		return targetDial(p.DialTarget)
	}
	return targetDial(router.NetworkDial())
}

func provideDialer(
	cfg *config.RouterNode, dial targetDial, x *heartbeat.Exchange, l *log.Logger, reg prometheus.Registerer,
) *reachability.Dialer {
	c := reachability.DialerConfig{
		Self: cfg.TunnelListen, Domain: cfg.FailureDomain, Direct: upstream.DialFunc(dial), Now: clock.Monotonic,
	}
	if cfg.TunnelListen != "" {
		c.Nodes = func() []string { return reachability.TunnelAddresses(x.StayingAddresses(), cfg.TunnelListen) }
	}
	return reachability.NewDialer(c, l, reg)
}

// Limits of the connections that a node carries for others: a share of its file descriptors, of which
// each takes two, and their memory, about 30 kB each.
const (
	tunnelFileShare = 0.2
	maxTunnels      = 512
)

func provideTunnelServer(
	cfg *config.RouterNode, dial targetDial, l *log.Logger, reg prometheus.Registerer,
) *tunnel.Server {
	limit := maxTunnels
	if cfg.MaxFileDescriptors > 0 {
		limit = min(limit, int(tunnelFileShare*float64(cfg.MaxFileDescriptors)/2))
	}
	return tunnel.NewServer(tunnel.ServerConfig{
		Listen: cfg.TunnelListen, Node: cfg.NodeID, Domain: cfg.FailureDomain, MaxTunnels: limit,
		Grace: cfg.ShutdownGrace - tunnelStopMargin, Dial: upstream.DialFunc(dial),
	}, l, reg)
}

// tunnelStopMargin is left between the end of the last tunnel and SIGKILL.
const tunnelStopMargin = 400 * time.Millisecond

func provideRouter(
	cfg *config.RouterNode, p Platform, dialer *reachability.Dialer, tunnels *tunnel.Server, rep *replica.Replica,
	x *heartbeat.Exchange, places *dispatch.Service, streams *resumption.Service, l *log.Logger, reg prometheus.Registerer,
) *router.Router {
	r := router.New(cfg, p.Dialect, dialer, rep, x, places, streams, l, reg)
	tunnels.SetDirectory(r)
	return r
}

func provideDispatch(
	cfg *config.RouterNode, x *heartbeat.Exchange, hub *peer.Hub, l *log.Logger, reg prometheus.Registerer,
) *dispatch.Service {
	return dispatch.New(dispatch.Config{Domain: cfg.FailureDomain}, x, hub, l, reg)
}

func provideResumption(
	rep *replica.Replica, x *heartbeat.Exchange, hub *peer.Hub, l *log.Logger, reg prometheus.Registerer,
) *resumption.Service {
	saveNote := func(ctx context.Context, note []byte) error { return rep.SaveNote(ctx, replica.VersionsNote, note) }
	return resumption.New(rep, saveNote, x, hub, l, reg)
}

func provideMetricsServer(cfg *config.RouterNode, reg *prometheus.Registry, l *log.Logger) *telemetry.Server {
	return telemetry.NewServer(cfg.MetricsListen, reg, l)
}

// provideRouterKernel registers the services in their start order: the router is
// last, so that it starts to listen after all other services and stops before them.
func provideRouterKernel(
	tel telemetry.Service, srv *telemetry.Server, hub *peer.Hub, x *heartbeat.Exchange,
	rep *replica.Replica, places *dispatch.Service, streams *resumption.Service, dialer *reachability.Dialer,
	tunnels *tunnel.Server, r *router.Router,
) (*kernel.Kernel, error) {
	return kernel.New(tel, srv, hub, x, rep, places, streams, dialer, tunnels, r)
}
