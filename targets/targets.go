// Package targets keeps the node's view of the engines and plain services it
// may route to, as immutable snapshots. The view is the newest VM list, merged with
// what targets report about themselves and what other nodes report about them.
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

// Registry polls the VM list, collects reports about targets and publishes
// snapshots.
type Registry struct {
	source   vmlist.Source
	interval time.Duration
	log      *log.Logger
	now      func() time.Time
	metrics  *metrics
	snap     atomic.Pointer[Snapshot]

	mu      sync.Mutex
	list    vmlist.List
	applied bool // whether a list has been applied
	records *leavingRecords
	damper  *damping.Damper
	// firstHoldEnd is the end of the snapshot's hold that ends first; zero if no
	// target is held down.
	firstHoldEnd time.Time
	onList       []func(vmlist.List)
	onLeaving    []func(Report)
}

// Option configures a Registry.
type Option func(*Registry)

// WithMetrics registers the registry's metrics with reg.
func WithMetrics(reg prometheus.Registerer) Option {
	return func(r *Registry) { r.metrics = newMetrics(reg) }
}

// WithDamping sets when targets that come and go too often are held down, and for
// how long.
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
		records: newLeavingRecords(), damper: damping.New(damping.DefaultConfig()),
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

// Snapshot returns the current snapshot. It never blocks.
func (r *Registry) Snapshot() *Snapshot { return r.snap.Load() }

// OnList registers f to be called with each newer VM list read after the call. It
// must be called before Start; f must not call the registry.
func (r *Registry) OnList(f func(vmlist.List)) { r.onList = append(r.onList, f) }

// OnLeaving registers f to be called with each leaving report that is new to this
// node, whatever its source. It must be called before Start; f must not call the
// registry.
func (r *Registry) OnLeaving(f func(Report)) { r.onLeaving = append(r.onLeaving, f) }

// Start implements kernel.Starter. It reads the VM list once before it returns; a
// failed read is logged and retried after the interval.
func (r *Registry) Start(ctx context.Context) error {
	r.poll(ctx)
	go pause.RunPeriodically(ctx, r.interval, r.poll)
	return nil
}

func (r *Registry) poll(ctx context.Context) {
	list, err := r.source.Fetch(ctx)
	if err != nil {
		r.metrics.reads.WithLabelValues("failed").Inc()
		r.log.Warn("cannot read the VM list; the last one stays in use", "err", err)
		r.publishEndedHolds()
		return
	}
	r.Apply(list)
	r.publishEndedHolds()
}

// Apply publishes a VM list unless the same or a newer one is already in use.
func (r *Registry) Apply(list vmlist.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.applied && list.Version <= r.list.Version {
		r.metrics.reads.WithLabelValues(readResult(list.Version, r.list.Version)).Inc()
		return
	}
	r.metrics.reads.WithLabelValues("new").Inc()
	r.metrics.version.Set(float64(list.Version))
	r.recordDepartures(list)
	r.list, r.applied = list, true
	for _, vm := range list.VMs {
		if vm.Role != vmlist.RoleNode {
			r.record(reportFromVM(vm), sourceList)
		}
	}
	r.records.prune(listedIDs(list), maxUnlisted)
	r.publish()
	for _, f := range r.onList {
		f(list)
	}
}

// ObserveLeaving records that a target's own response reported it as leaving.
// incarnation is the target's incarnation in the snapshot from which it was chosen.
func (r *Registry) ObserveLeaving(target string, incarnation int64) {
	r.recordAll(sourceAnswer, Report{Target: target, Incarnation: incarnation, Leaving: true})
}

// Learn records leaving reports received from other nodes.
func (r *Registry) Learn(reports ...Report) { r.recordAll(sourcePeer, reports...) }

// Leaving returns all leaving reports kept, ordered by target.
func (r *Registry) Leaving() []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records.reports()
}

// recordAll records reports and publishes a new snapshot if one of them was new.
func (r *Registry) recordAll(source string, reports ...Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, report := range reports {
		changed = r.record(report, source) || changed
	}
	if changed {
		r.publish()
	}
}

// record records a report and returns whether it was new; if so it calls the
// OnLeaving functions. The lock must be held.
func (r *Registry) record(report Report, source string) bool {
	if !r.records.add(report) {
		return false
	}
	r.metrics.reports.WithLabelValues(source).Inc()
	r.log.Info("target is leaving", "target", report.Target, "incarnation", report.Incarnation, "source", source)
	for _, f := range r.onLeaving {
		f(report)
	}
	return true
}

// publish builds and stores a new snapshot. The lock must be held.
func (r *Registry) publish() {
	now := r.now()
	r.damper.Prune(now)
	s, firstEnd := build(r.list, r.records, r.damper, now)
	r.firstHoldEnd = firstEnd
	r.metrics.observe(s)
	r.snap.Store(s)
}

// publishEndedHolds publishes a new snapshot once a hold of the current one has ended.
func (r *Registry) publishEndedHolds() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.firstHoldEnd.IsZero() && !r.firstHoldEnd.After(r.now()) {
		r.publish()
	}
}

// recordDepartures passes to the damper each target that was live in the list in
// use and that the new list removes, replaces by another incarnation or marks as
// leaving.
func (r *Registry) recordDepartures(list vmlist.List) {
	next := make(map[string]vmlist.VM, len(list.VMs))
	for _, vm := range list.VMs {
		next[vm.ID] = vm
	}
	for _, old := range r.list.VMs {
		if old.Role == vmlist.RoleNode || old.State == vmlist.StateLeaving {
			continue
		}
		vm, ok := next[old.ID]
		if !ok || vm.State == vmlist.StateLeaving || vm.Incarnation != old.Incarnation {
			r.damper.RecordDeparture(old.ID, r.now())
		}
	}
}

// listedIDs returns the IDs of the VMs in a list.
func listedIDs(list vmlist.List) map[string]bool {
	ids := make(map[string]bool, len(list.VMs))
	for _, vm := range list.VMs {
		ids[vm.ID] = true
	}
	return ids
}

// readResult returns the metric label for a list that is not newer than the current
// one.
func readResult(read, current int64) string {
	if read < current {
		return "stale"
	}
	return "same"
}
