// Package gateway is the node's HTTP interface for callers: it validates a caller's request,
// obtains a place on a target from admission, forwards the request and relays the response.
package gateway

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/admission"
	"github.com/knapweedgw/knapweedgw/claims"
	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/intake"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/quarantine/gossip"
	"github.com/knapweedgw/knapweedgw/reachability"
	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/targets"
	"github.com/knapweedgw/knapweedgw/upstream"
)

// ServiceID is the kernel name of the Gateway.
const ServiceID kernel.ID = "gateway.http"

const (
	headerReadTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// callerWriteTimeout is how long one write of a stream to its caller may block.
	callerWriteTimeout = 30 * time.Second
	// A header over maxHeaderBytes is refused with a problem document. The HTTP server itself
	// rejects a header over serverHeaderBytes.
	maxHeaderBytes    = 32 << 10
	serverHeaderBytes = 64 << 10
)

const (
	// retryWindow and retrySlack bound the retries of all nodes to a pool: in any retryWindow at most retrySlack and
	// the share of the requests that the flag --retry-share sets. retryReserve is left unused, see
	// retry.WindowConfig.
	retryWindow       = 10 * time.Second
	retrySlack        = 20 // retries
	retryReserve      = 0.05
	retryMinRemaining = 50 * time.Millisecond
	retryBaseBackoff  = 20 * time.Millisecond
	retryMaxBackoff   = time.Second
)

// SettingsSource provides the settings in force, nil before the first ones arrive.
type SettingsSource interface{ Snapshot() *settings.Snapshot }

// TargetSource provides the current targets.
type TargetSource interface{ Snapshot() *targets.Snapshot }

// Paths is the state of this node's network paths to targets.
type Paths interface{ MayBePartitioned() bool }

// LoadObserver receives the load that a target reports in a response.
type LoadObserver interface {
	Observe(target string, inFlight int, at time.Time)
}

// LeavingObserver is notified when a target announces in a response that it is about to stop.
type LeavingObserver interface {
	ObserveLeaving(target string, incarnation int64)
}

// Fleet says among how many nodes a fleet-wide limit is divided, 0 if this node gets no part.
type Fleet interface{ LimitShares() int }

// Gateway accepts callers' HTTP requests and forwards them to targets.
type Gateway struct {
	cfg      *config.Node
	log      *log.Logger
	registry *prometheus.Registry
	metrics  *metrics
	clients  clients
	dial     upstream.DialFunc
	// paths is the state of this node's network paths to targets, nil if it isn't known.
	paths        Paths
	budgets      *retry.Budgets
	backoff      retry.Backoff
	writeTimeout time.Duration
	notices      *notices

	settings SettingsSource
	admitter admission.Admitter
	guard    *quarantine.Guard
	claimer  claims.Claimer  // nil if the node runs no claims service
	targets  TargetSource    // nil if the node has no target registry
	loads    LoadObserver    // nil if admission doesn't take load reports
	leaving  LeavingObserver // nil if the registry doesn't take announcements
	fleet    Fleet           // nil if the node is the only one

	conns    *intake.Tracker
	server   *http.Server
	addr     string
	draining atomic.Bool
	// lastCall is when the newest request arrived, in Unix nanoseconds.
	lastCall atomic.Int64
}

// New returns a gateway that listens on cfg.Listen once it is started, and registers its metrics
// with reg.
func New(cfg *config.Node, l *log.Logger, reg *prometheus.Registry) *Gateway {
	budget := retry.WindowConfig{Share: cfg.RetryShare, Slack: retrySlack, Window: retryWindow, Reserve: retryReserve}
	limits := intake.NewLimits(int64(cfg.MemoryMB)<<20, cfg.MaxFDs)
	m := newMetrics(reg)
	return &Gateway{
		cfg: cfg, log: l, registry: reg, metrics: m,
		conns:        intake.NewTracker(limits, m.intake, l, clock.Monotonic),
		clients:      newClients(NetworkDial()),
		dial:         NetworkDial(),
		budgets:      retry.NewBudgets(budget, clock.Monotonic()),
		backoff:      retry.Backoff{Base: retryBaseBackoff, Max: retryMaxBackoff},
		writeTimeout: callerWriteTimeout,
		notices:      newNotices(),
	}
}

// ID implements kernel.Service.
func (g *Gateway) ID() kernel.ID { return ServiceID }

// Provision implements kernel.Provisioner. It fails if settings, admission or the quarantine
// guard are missing. Claims, targets, the observers and the dialer are optional; without the dialer,
// connections to targets use this node's own network path only.
func (g *Gateway) Provision(k *kernel.Kernel) error {
	var err error
	if g.settings, err = kernel.Lookup[SettingsSource](k, settings.ServiceID); err != nil {
		return err
	}
	if g.admitter, err = kernel.Lookup[admission.Admitter](k, admission.ServiceID); err != nil {
		return err
	}
	if g.guard, err = lookupGuard(k); err != nil {
		return err
	}
	g.claimer = lookupOptional[claims.Claimer](k, claims.ServiceID)
	g.targets = lookupOptional[TargetSource](k, targets.ServiceID)
	g.loads = lookupOptional[LoadObserver](k, admission.ServiceID)
	g.leaving = lookupOptional[LeavingObserver](k, targets.ServiceID)
	g.fleet = lookupOptional[Fleet](k, membership.ServiceID)
	if d := lookupOptional[*reachability.Dialer](k, reachability.ServiceID); d != nil {
		g.clients, g.dial, g.paths = newClients(d.DialContext), d.DialContext, d
		d.OnChange(func(c reachability.Change, _ string, hung bool) { g.clients.pathChanged(c, hung) })
	}
	return nil
}

// lacksPath reports whether an attempt failed before anything was sent while this node can't reach any
// target, which says nothing about the one that it was meant for.
func (g *Gateway) lacksPath(fail *attemptError) bool {
	return fail != nil && fail.progress == retry.NotSent && g.paths != nil && g.paths.MayBePartitioned()
}

// KnowsTarget implements tunnel.Directory.
func (g *Gateway) KnowsTarget(addr string) bool {
	if g.targets == nil {
		return false
	}
	for _, pool := range g.targets.Snapshot().Pools {
		if slices.ContainsFunc(pool, func(t targets.Target) bool { return t.Addr == addr }) {
			return true
		}
	}
	return false
}

// HasPath implements tunnel.Directory.
func (g *Gateway) HasPath() bool { return g.paths == nil || !g.paths.MayBePartitioned() }

func lookupGuard(k *kernel.Kernel) (*quarantine.Guard, error) {
	s, err := kernel.Lookup[GuardSource](k, gossip.ServiceID)
	if err != nil {
		return nil, err
	}
	return s.Guard(), nil
}

func lookupOptional[T any](k *kernel.Kernel, id kernel.ID) T {
	s, _ := kernel.Lookup[T](k, id)
	return s
}

// Start implements kernel.Starter. The listener is open when it returns.
func (g *Gateway) Start(context.Context) error {
	ln, err := net.Listen("tcp", g.cfg.Listen)
	if err != nil {
		return errors.WithHint(errors.Wrap(err, "gateway: listen"), "set --listen to a free ip:port of this VM")
	}
	g.addr = ln.Addr().String()
	g.server = g.newServer()
	go func() {
		if err := g.server.Serve(g.conns.Listen(ln)); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("gateway stopped", "err", err)
		}
	}()
	g.log.Info("gateway listens", "addr", g.addr)
	return nil
}

func (g *Gateway) newServer() *http.Server {
	return &http.Server{
		Handler:           g.conns.Handler(g.Handler()),
		ConnContext:       g.conns.ConnContext,
		ConnState:         g.conns.OnStateChange,
		ReadHeaderTimeout: min(headerReadTimeout, g.cfg.BodyTimeout),
		MaxHeaderBytes:    serverHeaderBytes,
		IdleTimeout:       idleTimeout,
	}
}

// Addr returns the ip:port on which the started gateway listens.
func (g *Gateway) Addr() string { return g.addr }
