// Package targets keeps the node's view of the engines and plain services it
// may route to, as immutable snapshots. The view is that of the newest VM list,
// corrected by what targets say of themselves and by other nodes' words.
package targets

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/damping"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

// ServiceID is the kernel name of the Registry.
const ServiceID kernel.ID = "targets.registry"

// Registry polls the VM list, takes words on targets and publishes snapshots.
type Registry struct {
	source   vmlist.Source
	interval time.Duration
	log      *log.Logger
	now      func() time.Time
	metrics  *metrics
	snap     atomic.Pointer[Snapshot]

	mu        sync.Mutex
	list      vmlist.List
	applied   bool // a list is in force
	book      *book
	damper    *damping.Damper
	nextHold  time.Time // when the snapshot's first hold ends; zero for none
	listeners []func(vmlist.List)
	leaving   []func(Word)
}

// Option changes a Registry at its creation.
type Option func(*Registry)

// WithMetrics registers the registry's metrics with reg.
func WithMetrics(reg prometheus.Registerer) Option {
	return func(r *Registry) { r.metrics = newMetrics(reg) }
}

// WithDamping sets when targets that come and go are held down.
func WithDamping(cfg damping.Config) Option {
	return func(r *Registry) { r.damper = damping.New(cfg) }
}

// WithClock sets the clock; the default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(r *Registry) { r.now = now }
}

// NewRegistry returns a registry that polls source every interval.
func NewRegistry(source vmlist.Source, interval time.Duration, l *log.Logger, opts ...Option) *Registry {
	r := &Registry{
		source: source, interval: interval, log: l, now: time.Now,
		book: newBook(), damper: damping.New(damping.DefaultConfig()),
	}
	for _, opt := range opts {
		opt(r)
	}
	if r.metrics == nil {
		r.metrics = newMetrics(prometheus.NewRegistry())
	}
	r.snap.Store(&Snapshot{})
	return r
}

// ID implements kernel.Service.
func (r *Registry) ID() kernel.ID { return ServiceID }

// Snapshot returns the current view. It never blocks.
func (r *Registry) Snapshot() *Snapshot { return r.snap.Load() }

// OnList calls f with each newer VM list read after the call. It must be
// called before Start; f must not call the registry.
func (r *Registry) OnList(f func(vmlist.List)) { r.listeners = append(r.listeners, f) }

// OnLeaving calls f with each leaving word when it is first learnt, from
// whatever source. It must be called before Start; f must not call the
// registry.
func (r *Registry) OnLeaving(f func(Word)) { r.leaving = append(r.leaving, f) }

// Start implements kernel.Starter. It reads the list once before it returns;
// a failed read is logged and tried again.
func (r *Registry) Start(ctx context.Context) error {
	r.poll(ctx)
	go pause.RunPeriodically(ctx, r.interval, r.poll)
	return nil
}

func (r *Registry) poll(ctx context.Context) {
	list, err := r.source.Fetch(ctx)
	if err != nil {
		r.metrics.reads.WithLabelValues("failed").Inc()
		r.log.Warn("vm list not read; the last one stays in force", "err", err)
		r.endHolds()
		return
	}
	r.Apply(list)
	r.endHolds()
}

// Apply publishes a VM list unless the same or a newer one is in force.
func (r *Registry) Apply(list vmlist.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.applied && list.Version <= r.list.Version {
		r.metrics.reads.WithLabelValues(readResult(list.Version, r.list.Version)).Inc()
		return
	}
	r.metrics.reads.WithLabelValues("new").Inc()
	r.metrics.version.Set(float64(list.Version))
	r.countDepartures(list)
	r.list, r.applied = list, true
	for _, vm := range list.VMs {
		if vm.Role != vmlist.RoleNode {
			r.learn(wordOf(vm), sourceList)
		}
	}
	r.book.prune(listed(list), maxUnlisted)
	r.publish()
	for _, f := range r.listeners {
		f(list)
	}
}

// ObserveLeaving records that a target said of itself that it is leaving.
// incarnation is that of the snapshot by which the target was chosen.
func (r *Registry) ObserveLeaving(target string, incarnation int64) {
	r.observe(sourceAnswer, Word{Target: target, Incarnation: incarnation, Leaving: true})
}

// Learn records other nodes' words.
func (r *Registry) Learn(words ...Word) { r.observe(sourcePeer, words...) }

// Leaving returns the leaving words known, ordered by target.
func (r *Registry) Leaving() []Word {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.words()
}

func (r *Registry) observe(source string, words ...Word) {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := false
	for _, w := range words {
		news = r.learn(w, source) || news
	}
	if news {
		r.publish()
	}
}

// learn records a word and, if it is news, passes it on.
func (r *Registry) learn(w Word, source string) bool {
	if !r.book.learn(w) {
		return false
	}
	r.metrics.words.WithLabelValues(source).Inc()
	r.log.Info("target is leaving", "target", w.Target, "incarnation", w.Incarnation, "source", source)
	for _, f := range r.leaving {
		f(w)
	}
	return true
}

// publish replaces the snapshot.
func (r *Registry) publish() {
	now := r.now()
	r.damper.Prune(now)
	s, next := build(r.list, r.book, r.damper, now)
	r.nextHold = next
	r.metrics.observe(s)
	r.snap.Store(s)
}

// endHolds publishes a new snapshot once a hold of the current one has ended.
func (r *Registry) endHolds() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.nextHold.IsZero() && !r.nextHold.After(r.now()) {
		r.publish()
	}
}

// countDepartures tells the damper which targets list takes away or replaces.
func (r *Registry) countDepartures(list vmlist.List) {
	after := make(map[string]vmlist.VM, len(list.VMs))
	for _, vm := range list.VMs {
		after[vm.ID] = vm
	}
	for _, old := range r.list.VMs {
		if old.Role == vmlist.RoleNode || old.State == vmlist.StateLeaving {
			continue
		}
		vm, ok := after[old.ID]
		if !ok || vm.State == vmlist.StateLeaving || vm.Incarnation != old.Incarnation {
			r.damper.RecordDeparture(old.ID, r.now())
		}
	}
}

func listed(list vmlist.List) map[string]bool {
	ids := make(map[string]bool, len(list.VMs))
	for _, vm := range list.VMs {
		ids[vm.ID] = true
	}
	return ids
}

func readResult(read, current int64) string {
	if read < current {
		return "stale"
	}
	return "same"
}
