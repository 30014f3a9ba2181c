package orders

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/lease"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/targets"
)

// ServiceID is the kernel ID of the Service.
const ServiceID kernel.ID = "orders.issuer"

// surveyInterval is the time between two calls of survey.
const surveyInterval = time.Second

// The reasons reported for a pool without orders or with conflicting settings.
const (
	skipConflict  = "settings_conflict"
	skipNoEngines = "no_engines"
)

// SettingsSource returns the settings in force, nil before the first are read.
type SettingsSource interface{ Snapshot() *settings.Snapshot }

// TargetSource returns the current targets, among them the engines.
type TargetSource interface{ Snapshot() *targets.Snapshot }

// Service runs an issuer for each pool of this node's region whose lease the node
// contends for.
type Service struct {
	issuerCfg IssuerConfig
	lease     lease.Config
	metrics   *lease.Metrics

	settings SettingsSource
	targets  TargetSource
	members  membership.Source

	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	stopped  bool
	runners  map[string]*runner
	stopping sync.WaitGroup
	skipped  map[string]string // reason by "reason/pool"
	snap     *settings.Snapshot
	specs    map[string]Spec // by pool, from snap
}

// NewService returns the service of a node.
func NewService(d IssuerConfig, cfg lease.Config, m *lease.Metrics) *Service {
	return &Service{
		issuerCfg: d, lease: cfg, metrics: m, done: make(chan struct{}),
		runners: make(map[string]*runner), skipped: make(map[string]string),
	}
}

// ID implements kernel.Service.
func (s *Service) ID() kernel.ID { return ServiceID }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(k *kernel.Kernel) (err error) {
	if s.settings, err = kernel.Lookup[SettingsSource](k, settings.ServiceID); err != nil {
		return err
	}
	if s.targets, err = kernel.Lookup[TargetSource](k, targets.ServiceID); err != nil {
		return err
	}
	s.members, err = kernel.Lookup[membership.Source](k, membership.ServiceID)
	return err
}

// Validate implements kernel.Validator.
func (s *Service) Validate() error { return s.lease.Validate() }

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	go s.run(ctx)
	return nil
}

func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	pause.RunPeriodically(ctx, surveyInterval, func(context.Context) { s.survey() })
}

// Drain implements kernel.Drainer: it stops the issuers and releases their leases.
func (s *Service) Drain(ctx context.Context) error { return s.Stop(ctx) }

// Stop implements kernel.Stopper. Orders in progress are completed first.
func (s *Service) Stop(ctx context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	<-s.done
	s.mu.Lock()
	s.stopped = true
	for pool := range s.runners {
		s.stopRunner(ctx, pool)
	}
	s.mu.Unlock()
	s.stopping.Wait()
	return nil
}

// survey starts and stops runners to match the settings, engines and members.
func (s *Service) survey() {
	snap := s.settings.Snapshot()
	if snap == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	if snap != s.snap {
		s.applySettings(snap)
	}
	view := s.members.View()
	for pool, spec := range s.specs {
		s.reconcilePool(view, pool, spec)
	}
	for pool := range s.runners {
		if _, ok := s.specs[pool]; !ok {
			s.stopRunner(context.Background(), pool)
		}
	}
}

// applySettings derives the specs from a new snapshot and reports conflicts.
func (s *Service) applySettings(snap *settings.Snapshot) {
	byPool, conflicts := specs(snap)
	s.snap, s.specs = snap, byPool
	for pool := range byPool {
		s.reportSkip(pool, skipConflict, slices.Contains(conflicts, pool))
	}
}

// reconcilePool starts, updates or stops the runner of a pool.
func (s *Service) reconcilePool(view *membership.View, pool string, spec Spec) {
	r, running := s.runners[pool]
	empty := len(engines(s.targets.Snapshot().Pool(pool), s.issuerCfg.Region)) == 0
	s.reportSkip(pool, skipNoEngines, empty)
	wanted := !empty && contends(view, s.issuerCfg.Region, LeaseName(s.issuerCfg.Region, pool), s.issuerCfg.Node)
	switch {
	case wanted && !running:
		r = newRunner(s.issuerCfg, s.lease, s.metrics, s.targets, pool)
		r.spec.Store(&spec)
		s.runners[pool] = r
		r.start()
	case wanted:
		r.spec.Store(&spec)
	case running:
		s.stopRunner(context.Background(), pool)
	}
}

// stopRunner stops a runner in the background.
func (s *Service) stopRunner(ctx context.Context, pool string) {
	r := s.runners[pool]
	delete(s.runners, pool)
	s.stopping.Go(func() { r.stop(ctx) })
}

// reportSkip counts and logs a reason when it starts to apply to a pool.
func (s *Service) reportSkip(pool, reason string, applies bool) {
	key := reason + "/" + pool
	_, was := s.skipped[key]
	switch {
	case applies && !was:
		s.skipped[key] = reason
		s.issuerCfg.Metrics.skipped.WithLabelValues(reason).Inc()
		s.issuerCfg.Log.Warn("pool has no orders or conflicting settings", "pool", pool, "reason", reason)
	case !applies:
		delete(s.skipped, key)
	}
}
