// Package targets keeps the node's view of the engines and plain services it
// may route to, as immutable snapshots.
package targets

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

// ServiceID is the kernel name of the Registry.
const ServiceID kernel.ID = "targets.registry"

// Target is an engine or a plain service.
type Target struct {
	ID            string
	Addr          string
	Pool          string
	Role          vmlist.Role
	FailureDomain string
	Region        string
	Incarnation   int64
	Capacity      int
	Leaving       bool
}

// Snapshot is an immutable view of all targets. Pools are ordered by ID.
type Snapshot struct {
	Version int64
	Pools   map[string][]Target
}

// Pool returns the targets of a pool, the leaving ones included.
func (s *Snapshot) Pool(name string) []Target { return s.Pools[name] }

// Registry polls the VM list and publishes snapshots.
type Registry struct {
	source   vmlist.Source
	interval time.Duration
	log      *log.Logger
	snap     atomic.Pointer[Snapshot]

	mu        sync.Mutex
	list      vmlist.List
	listeners []func(vmlist.List)
}

// NewRegistry returns a registry that polls source every interval.
func NewRegistry(source vmlist.Source, interval time.Duration, l *log.Logger) *Registry {
	r := &Registry{source: source, interval: interval, log: l}
	r.snap.Store(&Snapshot{})
	return r
}

// ID implements kernel.Service.
func (r *Registry) ID() kernel.ID { return ServiceID }

// Snapshot returns the current view. It never blocks.
func (r *Registry) Snapshot() *Snapshot { return r.snap.Load() }

// OnList calls f with each VM list read after the call. It must be called
// before Start.
func (r *Registry) OnList(f func(vmlist.List)) { r.listeners = append(r.listeners, f) }

// Start implements kernel.Starter. It reads the list once before it returns;
// a failed read is logged and tried again.
func (r *Registry) Start(ctx context.Context) error {
	r.poll(ctx)
	go r.run(ctx)
	return nil
}

func (r *Registry) run(ctx context.Context) {
	tick := time.NewTicker(r.interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.poll(ctx)
		}
	}
}

func (r *Registry) poll(ctx context.Context) {
	list, err := r.source.Fetch(ctx)
	if err != nil {
		r.log.Warn("vm list not read", "err", err)
		return
	}
	r.Apply(list)
}

// Apply publishes a VM list unless a newer one is already in force.
func (r *Registry) Apply(list vmlist.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if list.Version < r.list.Version {
		return
	}
	r.list = list
	r.snap.Store(build(list))
	for _, f := range r.listeners {
		f(list)
	}
}

func build(list vmlist.List) *Snapshot {
	s := &Snapshot{Version: list.Version, Pools: make(map[string][]Target)}
	for _, vm := range list.VMs {
		if vm.Role == vmlist.RoleNode {
			continue
		}
		s.Pools[vm.Pool] = append(s.Pools[vm.Pool], fromVM(vm))
	}
	for _, pool := range s.Pools {
		sort.Slice(pool, func(i, j int) bool { return pool[i].ID < pool[j].ID })
	}
	return s
}

func fromVM(vm vmlist.VM) Target {
	return Target{
		ID: vm.ID, Addr: vm.Addr, Pool: vm.Pool, Role: vm.Role,
		FailureDomain: vm.FailureDomain, Region: vm.Region,
		Incarnation: vm.Incarnation, Capacity: max(vm.Capacity, 1),
		Leaving: vm.State == vmlist.StateLeaving,
	}
}
