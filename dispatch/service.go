package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/admission/wire"
	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/pause"
)

// ServiceID is the kernel ID of the Service.
const ServiceID kernel.ID = "dispatch.places"

// Intervals and limits of the service's work.
const (
	tickInterval = 25 * time.Millisecond
	// releaseDelay is how long ended places wait for an ask that reports them.
	releaseDelay = 2 * time.Millisecond
	reportDelay  = 25 * time.Millisecond // until a place that no owner granted is reported
	// ownInterval is how often a node looks for cells that it has come to own; an ask makes it look
	// at once. Computing an order sorts all nodes.
	ownInterval      = 100 * time.Millisecond
	resyncInterval   = time.Second
	resyncRetry      = 250 * time.Millisecond
	resyncTimeout    = 250 * time.Millisecond
	silentIntervals  = 3 // resync intervals after which the places of a node that sent nothing are dropped
	expiryInterval   = 100 * time.Millisecond
	stopFlushTimeout = 500 * time.Millisecond
	// orderTTL is how long a cell's order of owners is cached: computing it sorts all nodes.
	orderTTL   = 40 * time.Millisecond
	orderLimit = 8
	// viewSettles is the time after a pause of the process in which heartbeats of the live nodes
	// arrive again; until then no node counts as dead.
	viewSettles = time.Second
	// recentMessage is the age of a message up to which its sender isn't dead whatever the
	// heartbeats say, for example when the fleet starts.
	recentMessage = 500 * time.Millisecond
)

// Config identifies the node.
type Config struct {
	// Domain is the node's failure domain.
	Domain string
}

// Service asks owners for places and owns cells itself.
type Service struct {
	cfg       Config
	self      holds.From
	fleet     Fleet
	net       Network
	directory Directory
	log       *log.Logger
	metrics   *metrics
	now       func() time.Time
	spawn     func(func())
	newRecord func(cell.Config) record

	table     *holds.Table
	ended     *wire.Ended
	owned     *ownedCells
	ownPlaces *ownPlaces
	leaving   atomic.Bool

	// nextClaim is when to look again for cells that this node owns. Only tick uses it.
	nextClaim time.Time

	// work ends when the service stops.
	work   context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	states *nodeStates
	// roundTrips has how soon owners answer.
	roundTrips *roundTrips
	// claims has the owners that told this node that they own a cell, and reported those that
	// other nodes know. Only the former are passed on, since a claim passed on twice would never
	// expire.
	claims, reported *claims
	cells            map[string]*cellCount
	orders           map[holds.CellKey]cachedOrder
	messages         map[string]time.Time // when the last message of a node arrived
	lastTick         time.Time
	resumed          time.Time // end of the last pause of the process
}

type cachedOrder struct {
	nodes []string
	until time.Time
}

// New returns a service. SetDirectory must be called before Start.
func New(cfg Config, f Fleet, n Network, l *log.Logger, reg prometheus.Registerer) *Service {
	node, incarnation := f.Self()
	s := &Service{
		cfg: cfg, self: holds.From{Node: node, Incarnation: incarnation}, fleet: f, net: n,
		log: l, metrics: newMetrics(reg), now: clock.Monotonic, spawn: func(f func()) { go f() },
		newRecord: func(c cell.Config) record { return holds.NewOwner(c) },
		ended:     wire.NewEnded(), owned: newOwnedCells(), ownPlaces: &ownPlaces{counts: make(map[ownKey]int)},
		roundTrips: newRoundTrips(),
		states:     newNodeStates(), claims: newClaims(), reported: newClaims(), cells: make(map[string]*cellCount),
		orders: make(map[holds.CellKey]cachedOrder), messages: make(map[string]time.Time),
		directory: emptyDirectory{},
	}
	s.work, s.cancel = context.WithCancel(context.Background())
	s.table = holds.NewTable(s.self, holds.Timing{Interval: resyncInterval, Retry: resyncRetry, Report: reportDelay})
	observeState(reg, s)
	s.serve()
	return s
}

// emptyDirectory is the directory until SetDirectory is called.
type emptyDirectory struct{}

func (emptyDirectory) Targets(string) ([]cell.Target, bool) { return nil, false }
func (emptyDirectory) Services() []string                   { return nil }
func (emptyDirectory) CountedRunning(string, string) int    { return 0 }

// SetDirectory sets the source of the services' targets.
func (s *Service) SetDirectory(d Directory) { s.directory = d }

// ID implements kernel.Service.
func (s *Service) ID() kernel.ID { return ServiceID }

// Validate implements kernel.Validator.
func (s *Service) Validate() error {
	if _, missing := s.directory.(emptyDirectory); missing {
		return errors.New("dispatch: no directory of targets: call SetDirectory before the kernel starts")
	}
	return nil
}

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	go pause.RunPeriodically(ctx, tickInterval, s.tick)
	go s.runReleases(ctx)
	return nil
}

// Drain implements kernel.Drainer: from now on this node owns no cell and answers asks with
// NotOwner and Leaving. Its own requests continue.
func (s *Service) Drain(context.Context) error {
	s.leaving.Store(true)
	for _, c := range s.owned.all() {
		s.owned.remove(c, holds.Reply{Code: holds.NotOwner, Leaving: true})
	}
	return nil
}

// Stop implements kernel.Stopper: it sends the ended places that are still queued.
func (s *Service) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopFlushTimeout)
	defer cancel()
	s.flush(ctx).Wait()
	s.cancel()
	return nil
}

// tick does the periodic work.
func (s *Service) tick(ctx context.Context) {
	now := s.now()
	s.mu.Lock()
	if !s.lastTick.IsZero() && now.Sub(s.lastTick) > maxPause {
		s.resumed = now
	}
	s.lastTick = now
	s.states.expire(now)
	s.claims.expire(now)
	s.reported.expire(now)
	for node, at := range s.messages {
		if now.Sub(at) > recentMessage {
			delete(s.messages, node)
		}
	}
	s.mu.Unlock()
	s.table.Rekey(now, s.stale, s.rekeyed)
	s.resyncDue(ctx)
	s.tickOwned(now)
}

// stale reports whether the service now has another number of cells.
func (s *Service) stale(k holds.CellKey) bool {
	targets, dispatched := s.directory.Targets(k.Pool)
	return dispatched && s.cellsOf(k.Pool, targets) != k.Of
}

// rekeyed returns the cell to which a target of k belongs now.
func (s *Service) rekeyed(k holds.CellKey, target string) holds.CellKey {
	targets, _ := s.directory.Targets(k.Pool)
	k.Of = s.cellsOf(k.Pool, targets)
	k.Cell = cell.IndexOf(target, k.Of)
	return k
}

func (s *Service) cellsOf(service string, targets []cell.Target) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.cells[service]
	if c == nil {
		c = &cellCount{}
		s.cells[service] = c
	}
	return c.update(capacityOf(targets), s.now())
}

// order returns the cell's order of owners. The lock must be held.
func (s *Service) order(k holds.CellKey, now time.Time) []string {
	o, ok := s.orders[k]
	if !ok || !now.Before(o.until) {
		if len(s.orders) > maxCells {
			clear(s.orders)
		}
		o = cachedOrder{s.fleet.Owners(orderKey(k), orderLimit), now.Add(orderTTL)}
		s.orders[k] = o
	}
	return o.nodes
}

// choose returns the owner to ask and the nodes before it that are suspected. trial is how long
// one request may try a node whose suspicion has ended.
func (s *Service) choose(k holds.CellKey, trial time.Duration) (owner string, passed []string) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.states.choose(s.order(k, now), now, s.fleet.HeardAt, trial)
}

// roundTrip returns the time in which an answer of a node is expected.
func (s *Service) roundTrip(node string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roundTrips.bound(node)
}

// probeTimeout returns the time in which an answer of all the nodes is expected.
func (s *Service) probeTimeout(nodes []string) time.Duration {
	timeout := minRoundTrip
	for _, node := range nodes {
		timeout = max(timeout, s.roundTrip(node))
	}
	return timeout
}

// ownerOf returns the cell's owner, "" if none is known.
func (s *Service) ownerOf(k holds.CellKey) string {
	owner, _ := s.choose(k, 0)
	return owner
}

// standing returns this node's standing in a cell's order.
func (s *Service) standing(k holds.CellKey, suspects []string) (standing, []string, string) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	named := make(map[string]bool, len(suspects))
	for _, n := range suspects {
		named[n] = true
	}
	excluded := func(node string) bool { return s.states.excluded(node, now) }
	return standingOf(s.order(k, now), s.self.Node, excluded, named)
}

// recordMessage records that a node sent a message, and the nodes that it names as leaving.
func (s *Service) recordMessage(from holds.From, leaving []holds.From) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.messages[from.Node]; known || len(s.messages) < maxCells {
		s.messages[from.Node] = now
	}
	for _, f := range leaving {
		if f.Node != s.self.Node && s.fleet.IsLive(f.Node) {
			s.states.recordLeaving(f.Node, now, false)
		}
	}
}
