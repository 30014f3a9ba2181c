// Package node assembles the services of a node by dependency injection; the
// injectors in wire_gen.go are generated from wire.go.
package node

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/admission"
	"github.com/knapweedgw/knapweedgw/claims"
	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/gateway"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/lease"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/orders"
	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/quarantine/gossip"
	"github.com/knapweedgw/knapweedgw/reachability"
	"github.com/knapweedgw/knapweedgw/settings/acceptor"
	"github.com/knapweedgw/knapweedgw/settings/follower"
	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/etcd"
	"github.com/knapweedgw/knapweedgw/targets"
	"github.com/knapweedgw/knapweedgw/telemetry"
	"github.com/knapweedgw/knapweedgw/tunnel"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

// vmListTimeout is the timeout for one read of the VM list.
const vmListTimeout = 2 * time.Second

func provideLogger(cfg *config.Node, w io.Writer) (*log.Logger, error) {
	return telemetry.NewLogger(w, cfg.LogLevel, cfg.NodeID)
}

func provideStore(cfg *config.Node) store.Store {
	return etcd.New(cfg.StoreEndpoints, etcd.DefaultTimeout)
}

func provideVMList(cfg *config.Node) vmlist.Source {
	return vmlist.NewClient(cfg.VMListURL, vmListTimeout)
}

func provideTargets(cfg *config.Node, src vmlist.Source, l *log.Logger, reg prometheus.Registerer) *targets.Registry {
	return targets.NewRegistry(src, cfg.VMListInterval, l, targets.WithMetrics(reg))
}

func provideHub(cfg *config.Node, l *log.Logger, reg prometheus.Registerer) *peer.Hub {
	return peer.NewHub(cfg.PeerListen, l, reg)
}

func provideMembers(
	cfg *config.Node, hub *peer.Hub, t *targets.Registry, l *log.Logger, reg prometheus.Registerer,
) *membership.Members {
	self := membership.Node{
		ID: cfg.NodeID, PeerAddr: cfg.PeerListen, Region: cfg.Region,
		FailureDomain: cfg.FailureDomain, Incarnation: cfg.IncarnationTime.UnixNano(),
	}
	return membership.New(self, hub, t, l, reg)
}

func provideClaims(
	cfg *config.Node, st store.Store, hub *peer.Hub, mem *membership.Members, l *log.Logger, reg prometheus.Registerer,
) *claims.Service {
	set := claims.DefaultSettings()
	set.Shard.Retention = cfg.ClaimRetention
	set.Shard.Interval = cfg.ClaimInterval
	self := core.Holder{Node: cfg.NodeID, Incarnation: cfg.IncarnationTime.UnixNano()}
	return claims.NewService(self, set, st, hub, mem, l, reg)
}

func provideAdmission(cfg *config.Node, l *log.Logger, reg prometheus.Registerer) *admission.Service {
	return admission.New(admission.Config{
		Node: cfg.NodeID, Incarnation: cfg.IncarnationTime.UnixNano(), Region: cfg.Region,
		Timeout: cfg.AdmissionTimeout, Resync: cfg.AdmissionResync,
	}, l, reg)
}

func provideOrders(cfg *config.Node, st store.Store, l *log.Logger, reg prometheus.Registerer) *orders.Service {
	return orders.NewService(orders.IssuerConfig{
		Node: cfg.NodeID, Region: cfg.Region, Limits: orders.DefaultLimits(),
		Store: st, Client: orders.NewHTTPClient(), Metrics: orders.NewMetrics(reg), Log: l, Now: time.Now,
	}, lease.ConfigFor(cfg.DutyTTL), lease.NewMetrics(reg))
}

func provideGossip(hub *peer.Hub, mem *membership.Members, l *log.Logger, reg prometheus.Registerer) *gossip.Service {
	guard := quarantine.NewGuard(quarantine.DefaultConfig(), clock.Monotonic, l, reg)
	return gossip.New(guard, hub, mem, l)
}

// tunnelGrace is how long after the begin of a shutdown connections that this node carries for others may
// last.
const tunnelGrace = 10 * time.Second

func provideGatewayDialer(
	cfg *config.Node, mem *membership.Members, l *log.Logger, reg prometheus.Registerer,
) *reachability.Dialer {
	c := reachability.DialerConfig{Self: cfg.TunnelListen, Domain: cfg.FailureDomain, Direct: gateway.NetworkDial()}
	if cfg.TunnelListen != "" {
		c.Nodes = func() []string { return reachability.TunnelAddresses(otherNodes(mem.View()), cfg.TunnelListen) }
	}
	return reachability.NewDialer(c, l, reg)
}

// otherNodes returns the addresses of the other live nodes of the region.
func otherNodes(v *membership.View) []string {
	if v == nil {
		return nil
	}
	var out []string
	for _, n := range v.Nodes {
		if n.ID != v.Self && n.State == membership.Alive {
			out = append(out, n.PeerAddr)
		}
	}
	return out
}

func provideGatewayTunnels(cfg *config.Node, l *log.Logger, reg prometheus.Registerer) *tunnel.Server {
	return tunnel.NewServer(tunnel.ServerConfig{
		Listen: cfg.TunnelListen, Node: cfg.NodeID, Domain: cfg.FailureDomain, MaxTunnels: maxTunnels,
		Grace: tunnelGrace, Dial: gateway.NetworkDial(),
	}, l, reg)
}

func provideGateway(cfg *config.Node, tunnels *tunnel.Server, l *log.Logger, reg *prometheus.Registry) *gateway.Gateway {
	g := gateway.New(cfg, l, reg)
	tunnels.SetDirectory(g)
	return g
}

// provideKernel registers the services in their start order.
func provideKernel(
	tel telemetry.Service,
	hub *peer.Hub,
	reg *targets.Registry,
	mem *membership.Members,
	set *follower.Follower,
	acc *acceptor.Acceptor,
	adm *admission.Service,
	clm *claims.Service,
	ord *orders.Service,
	gos *gossip.Service,
	dialer *reachability.Dialer,
	tunnels *tunnel.Server,
	gw *gateway.Gateway,
) (*kernel.Kernel, error) {
	return kernel.New(tel, hub, mem, reg, set, acc, adm, clm, ord, gos, dialer, tunnels, gw)
}
