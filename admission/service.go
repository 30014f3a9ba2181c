package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/admission/wire"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/targets"
)

// Intervals and limits of the service's work.
const (
	tickInterval     = 50 * time.Millisecond
	totalsInterval   = cell.DefaultMinInterval
	releaseDelay     = 25 * time.Millisecond // releases are collected that long before they are sent
	reportDelay      = 200 * time.Millisecond
	resyncRetry      = time.Second
	resyncTimeout    = time.Second
	takeoverTimeout  = time.Second
	pullInterval     = 250 * time.Millisecond
	silentIntervals  = 3 // resync intervals after which the places of a node that sent nothing are dropped
	leavingTTL       = 30 * time.Second
	stopFlushTimeout = 500 * time.Millisecond
	recentChats      = 4096 // chats whose last target a node remembers
	recentMaxAge     = 5 * time.Minute
)

// Caller calls other nodes and serves their calls; see package peer.
type Caller interface {
	Handle(method string, f peer.Handler)
	Call(ctx context.Context, addr, method string, params, result any) error
	Notify(ctx context.Context, addr, method string, params any) error
}

// SettingsSource provides the settings in force, nil before the first.
type SettingsSource interface{ Snapshot() *settings.Snapshot }

// Config identifies the node and sets its timing.
type Config struct {
	Node        string
	Incarnation int64
	Region      string
	// Timeout is the shortest wait for an owner's answer before the local estimate decides.
	Timeout time.Duration
	// Resync is the interval at which a node sends each owner the list of all its places.
	Resync time.Duration
}

// Service admits requests together with the services of the other nodes: it asks the owners
// of cells for places, and owns cells itself.
type Service struct {
	cfg     Config
	self    holds.From
	log     *log.Logger
	metrics *metrics
	now     func() time.Time
	spawn   func(func())

	hub      Caller
	view     membership.Source
	targets  TargetSource
	settings SettingsSource

	local    *LocalEstimator
	table    *holds.Table
	releases *wire.Ended
	owned    *ownedCells
	totals   *totals
	draining atomic.Bool

	mu          sync.Mutex
	links       map[string]*link
	leaving     map[string]leavingNode
	currentPlan *plan
	nextTotals  time.Time
	recent      *cell.LastTargets // the targets on which this node's chats last ran
}

// leavingNode is a node that has announced that it hands its cells over.
type leavingNode struct {
	incarnation int64
	until       time.Time
}

// New returns a service.
func New(cfg Config, l *log.Logger, reg prometheus.Registerer) *Service {
	s := &Service{
		cfg: cfg, self: holds.From{Node: cfg.Node, Incarnation: cfg.Incarnation},
		log: l, metrics: newMetrics(reg), now: time.Now, spawn: func(f func()) { go f() },
		releases: wire.NewEnded(), owned: newOwned(), totals: newTotals(),
		links: make(map[string]*link), leaving: make(map[string]leavingNode),
		recent: cell.NewLastTargets(recentChats),
	}
	s.table = holds.NewTable(s.self, holds.Timing{Interval: cfg.Resync, Retry: resyncRetry, Report: reportDelay})
	observeState(reg, s)
	return s
}

// ID implements kernel.Service.
func (s *Service) ID() kernel.ID { return ServiceID }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(k *kernel.Kernel) error {
	hub, err := kernel.Lookup[Caller](k, peer.ServiceID)
	if err != nil {
		return err
	}
	view, err := kernel.Lookup[membership.Source](k, membership.ServiceID)
	if err != nil {
		return err
	}
	tgts, err := kernel.Lookup[TargetSource](k, targets.ServiceID)
	if err != nil {
		return err
	}
	set, err := kernel.Lookup[SettingsSource](k, settings.ServiceID)
	if err != nil {
		return err
	}
	s.connect(hub, view, tgts, set)
	return nil
}

func (s *Service) connect(hub Caller, view membership.Source, t TargetSource, set SettingsSource) {
	s.hub, s.view, s.targets, s.settings = hub, view, t, set
	s.local = NewLocalEstimator(t)
	s.local.now = func() time.Time { return s.now() }
	s.serve()
}

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	go pause.RunPeriodically(ctx, tickInterval, s.tick)
	go s.runReleases(ctx)
	return nil
}

// Drain implements kernel.Drainer: from now on this node owns no cell and answers asks for a
// cell with NotOwner. Its own requests continue.
func (s *Service) Drain(context.Context) error {
	s.draining.Store(true)
	s.invalidatePlan()
	return nil
}

// Stop implements kernel.Stopper: it sends the releases that are still queued.
func (s *Service) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopFlushTimeout)
	defer cancel()
	s.flush(ctx)
	return nil
}

// Observe records a target's report of its requests in flight, for the local estimate.
func (s *Service) Observe(target string, inFlight int, at time.Time) {
	s.local.Observe(target, inFlight, at)
}

// tick does the periodic work: it applies changes of the plan, sends resyncs that are due
// and updates the owned cells.
func (s *Service) tick(ctx context.Context) {
	now := s.now()
	p := s.plan()
	s.table.Rekey(now, p.stale, p.keyOf)
	s.resyncDue(ctx, p)
	s.tickOwned(ctx, p, now)
	if s.totalsDue(now) {
		s.sendTotals(ctx, p, now)
		s.expire(p, now)
	}
}

func (s *Service) totalsDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.nextTotals) {
		return false
	}
	s.nextTotals = now.Add(totalsInterval)
	return true
}

// expire removes the records of nodes that are gone and of targets that aren't in use.
func (s *Service) expire(p *plan, now time.Time) {
	dead := func(h cell.Holder) bool {
		n, ok := p.inputs.view.Node(h.Node)
		return ok && n.State == membership.Dead
	}
	silent := now.Add(-silentIntervals * s.cfg.Resync)
	s.owned.each(func(_ holds.CellKey, c *ownedCell) { c.owner.Expire(silent, dead) })
	s.local.expire(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leaving {
		if now.After(l.until) {
			delete(s.leaving, id)
		}
	}
	for id := range s.links {
		if _, ok := p.inputs.view.Node(id); !ok {
			delete(s.links, id)
		}
	}
}

// plan returns the plan of the current snapshots. A new plan is applied to the owned cells
// before it is returned.
func (s *Service) plan() *plan {
	in := inputs{settings: s.settings.Snapshot(), view: s.view.View(), targets: s.targets.Snapshot()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentPlan != nil && s.currentPlan.inputs == in {
		return s.currentPlan
	}
	p := newPlan(in, s.cfg.Region, s.isLeaving)
	s.currentPlan = p
	s.updateOwned(p)
	return p
}

// invalidatePlan makes the next call of plan compute a new one.
func (s *Service) invalidatePlan() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentPlan = nil
}

// isLeaving reports whether a node hands its cells over although it still may own cells
// according to the view.
func (s *Service) isLeaving(n membership.Node) bool {
	if n.ID == s.cfg.Node {
		return s.draining.Load()
	}
	l, ok := s.leaving[n.ID]
	return ok && n.Incarnation <= l.incarnation
}

// recordLeaving records that a node hands its cells over.
func (s *Service) recordLeaving(f holds.From) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.leaving[f.Node]; ok && l.incarnation >= f.Incarnation || f.Node == s.cfg.Node {
		return
	}
	s.leaving[f.Node] = leavingNode{incarnation: f.Incarnation, until: s.now().Add(leavingTTL)}
	s.currentPlan = nil
}

// leavingNodes returns the nodes that hand their cells over, this one included, while the
// view doesn't show it yet.
func (s *Service) leavingNodes() []holds.From {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.leaving) == 0 && !s.draining.Load() {
		return nil
	}
	var out []holds.From
	for _, n := range s.view.View().Nodes {
		if n.State <= membership.Suspect && s.isLeaving(n) {
			out = append(out, holds.From{Node: n.ID, Incarnation: n.Incarnation})
		}
	}
	return out
}

// call calls a method on another node and counts the bytes sent and received.
func (s *Service) call(ctx context.Context, n membership.Node, method string, params, result any) error {
	return wire.Call(ctx, s.hub, s.metrics.bytes, n.PeerAddr, method, params, result)
}

func (s *Service) notify(ctx context.Context, n membership.Node, method string, params any) error {
	return wire.Notify(ctx, s.hub, s.metrics.bytes, n.PeerAddr, method, params)
}

func holderOf(n membership.Node) cell.Holder {
	return cell.Holder{Node: n.ID, Incarnation: n.Incarnation}
}
