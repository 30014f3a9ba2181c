package router

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/catalog"
	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/dispatch"
	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/intake"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/reachability"
	"github.com/knapweedgw/knapweedgw/replica"
	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/roster"
	"github.com/knapweedgw/knapweedgw/routing"
	"github.com/knapweedgw/knapweedgw/warmup"
)

// ServiceID identifies the Router in the kernel.
const ServiceID kernel.ID = "router.http"

const (
	// headerTimeout and maxHeaderBytes apply from the start, before a configuration is known.
	// They are the largest values that the known configurations allow callers.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// callerIdle is how long a caller's idle connection is kept: longer than configurations
	// promise, so that a configuration change never cuts a connection off early.
	callerIdle = 75 * time.Second
	// retryReserve is the fraction of the retry limit that is left unused, see
	// retry.WindowConfig.
	retryReserve = 0.05
)

// Replica is the node's copy of the configuration and the targets.
type Replica interface {
	Catalog() *catalog.Catalog
	// Initialized is closed when the node has its first configuration and targets.
	Initialized() <-chan struct{}
	Versions() (catalogVersion, position int64)
	ConfirmedAge(now time.Time) (age time.Duration, ok bool)
	// WithoutConfiguration returns for how long this node has been running without a
	// configuration; 0 if it has one. OtherNodeAhead reports whether another live node is known
	// to have a newer copy than this one.
	WithoutConfiguration() time.Duration
	OtherNodeAhead() bool
	StoreUnreachable() bool
	// WritesNote reports whether this node writes the fleet's note. SaveNote writes it; a node
	// reads it when it starts and passes it to the functions registered with OnNote.
	WritesNote() bool
	SaveNote(ctx context.Context, n replica.Note, note []byte) error
	OnNote(n replica.Note, f func(note []byte, s replica.NoteState))
	Ready() bool
	OnTargets(f func([]roster.TargetChange))
}

// Router serves callers' requests.
type Router struct {
	cfg     *config.RouterNode
	dialect Dialect
	replica Replica
	fleet   Fleet
	pool    *pool
	guard   *quarantine.Guard
	log     *log.Logger
	metrics *metrics
	now     func() time.Time

	// noteDue has capacity 1 and contains a value while a note is to be written soon.
	noteDue chan struct{}

	budgets *retry.Budgets
	// newFleet is set while no process of the fleet has run before and its first note isn't in the store yet;
	// newFleetFound is closed when that is found. firstNoteSaved is set when this node has written that note.
	newFleet, firstNoteSaved atomic.Bool
	newFleetFound            chan struct{}
	replies                  *replyTimes
	dispatcher               Dispatcher
	streams                  Streams

	callerServer, readinessServer *http.Server
	callerListener                net.Listener
	conns                         *intake.Tracker
	draining                      atomic.Bool
	// stopped means that the grace period of a shutdown has ended.
	stopped  atomic.Bool
	inFlight atomic.Int64
	// cancelRequests cancels all requests in progress with a cause.
	cancelRequests context.CancelCauseFunc
}

// New returns a router that will listen on the addresses of cfg and connect to targets by dialer.
func New(
	cfg *config.RouterNode, d Dialect, dialer *reachability.Dialer, b *replica.Replica, x *heartbeat.Exchange,
	places *dispatch.Service, streams Streams, l *log.Logger, reg prometheus.Registerer,
) *Router {
	guard := quarantine.NewGuard(quarantine.DefaultConfig(), clock.Monotonic, l, reg)
	r := &Router{
		cfg: cfg, dialect: d, replica: b, fleet: x, log: l, now: clock.Monotonic,
		guard: guard, noteDue: make(chan struct{}, 1), newFleetFound: make(chan struct{}),
		pool:    newPool(x, guard, cfg.FailureDomain, l),
		metrics: newMetrics(reg),
		budgets: retry.NewBudgets(retry.WindowConfig{
			Share: cfg.RetryShare, Slack: cfg.RetryAllowance, Window: cfg.RetryWindow, Reserve: retryReserve,
		}, clock.Monotonic()),
		replies: newReplyTimes(), dispatcher: places,
		streams: streams,
	}
	r.pool.usePaths(dialer)
	r.pool.regionOf = cfg.Regions
	r.pool.self = routing.Hash(cfg.PeerListen)
	r.pool.warmUpOf, r.pool.trafficOf = r.warmUpOf, r.trafficOf
	places.SetDirectory(r.pool)
	limits := intake.NewLimits(cfg.MemoryLimit, cfg.MaxFileDescriptors)
	r.conns = intake.NewTracker(limits, r.metrics.intake, l, clock.Monotonic)
	b.OnTargets(r.pool.update)
	b.OnTargets(r.recordVersions)
	b.OnNote(replica.TargetsNote, r.readNote)
	b.OnNote(replica.VersionsNote, r.readVersions)
	x.SetReporter(r)
	x.OnReport(r.pool.receiveReport)
	x.OnReport(func(rep heartbeat.Report) { b.HandlePeerVersions(rep.Catalog, rep.Position()) })
	x.OnReport(func(rep heartbeat.Report) { guard.MergeRecords(rep.Node, rep.Requests) })
	x.OnReport(func(rep heartbeat.Report) { streams.Receive(rep.Node, rep.Streams) })
	x.OnReport(r.retireTunnels)
	guard.OnLocalChange(func() { go x.Announce() })
	guard.OnSnapshotDue(r.requestNote)
	guard.SetTrialPosition(func(key uint64) int {
		position, _ := x.Position(key)
		return position
	})
	return r
}

// ID implements kernel.Service.
func (r *Router) ID() kernel.ID { return ServiceID }

// FillReport implements heartbeat.Reporter.
func (r *Router) FillReport(rep *heartbeat.Report, now time.Time) {
	catalogVersion, position := r.replica.Versions()
	rep.Catalog = catalogVersion
	rep.SetPosition(position)
	rep.ConfirmedAge = -1
	if age, ok := r.replica.ConfirmedAge(now); ok {
		rep.ConfirmedAge = age.Milliseconds()
	}
	rep.Leaving = r.draining.Load()
	rep.StoreUnreachable = r.replica.StoreUnreachable()
	rep.Requests = r.guard.PendingRecords()
	if !rep.Brief {
		r.pool.fillReport(rep, now)
		rep.Streams, rep.SharesStreams = r.streams.Report()
	}
}

// Start implements kernel.Starter. It listens before it returns.
func (r *Router) Start(ctx context.Context) error {
	go r.saveNotes(ctx)
	go r.saveUrgentNotes(ctx)
	work, cancelRequests := context.WithCancelCause(context.WithoutCancel(ctx))
	r.cancelRequests = cancelRequests
	r.callerServer = &http.Server{
		BaseContext: func(net.Listener) context.Context { return work },
		ConnContext: r.conns.ConnContext, ConnState: r.conns.OnStateChange,
		Handler: r.conns.Handler(http.HandlerFunc(r.serve)), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: r.log.StandardLog(),
	}
	r.readinessServer = &http.Server{Handler: http.HandlerFunc(r.serveReadiness), ReadHeaderTimeout: headerTimeout}
	var err error
	if r.callerListener, err = listen(r.cfg.Listen); err != nil {
		return err
	}
	readinessListener, err := listen(r.cfg.ReadyListen)
	if err != nil {
		return err
	}
	r.serveOn(r.callerServer, r.conns.Listen(r.callerListener))
	r.serveOn(r.readinessServer, readinessListener)
	return nil
}

func listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	return ln, errors.WithHint(errors.Wrap(err, "router: listen"), "give the node a free ip:port of this VM")
}

// serveOn serves in the background until the listener is closed.
func (r *Router) serveOn(s *http.Server, ln net.Listener) {
	addr := ln.Addr().String()
	go func() {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			r.log.Error("listener stopped", "addr", addr, "err", err)
		}
	}()
	r.log.Info("listens", "addr", addr)
}

// serveReadiness answers the load balancer's readiness checks.
func (r *Router) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if r.draining.Load() || !r.replica.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// warmUpOf returns the limits for cold targets of a service.
func (r *Router) warmUpOf(service string) warmup.Limit {
	c := r.replica.Catalog()
	if c == nil {
		return warmup.Limit{}
	}
	s, ok := c.Service(service)
	if !ok {
		return warmup.Limit{}
	}
	return s.WarmUp
}

// trafficOf returns the summary of the routes to a service.
func (r *Router) trafficOf(service string) catalog.Traffic {
	c := r.replica.Catalog()
	if c == nil {
		return catalog.Traffic{}
	}
	return c.Traffic(service)
}
