package orders

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/lease"
	"github.com/knapweedgw/knapweedgw/orders"
	"github.com/knapweedgw/knapweedgw/orders/orderstest"
	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/memory"
)

const (
	step        = 500 * time.Millisecond // interval between ticks of the issuers
	loadTime    = 30 * time.Second       // time that an engine takes to load a version
	settledTime = 10 * time.Minute       // period over which rates are measured
	maxWait     = 4 * time.Hour          // limit of a roll-out or a take-over
)

// calls counts the issuers' calls to the store and to engines.
type calls struct{ reads, writes, leases, engineReads int }

// countingClient is a store and an engine client that counts its calls.
type countingClient struct {
	*memory.Store
	*orderstest.Client
	calls *calls
}

func (c countingClient) Get(ctx context.Context, key string) (store.KV, bool, error) {
	c.calls.reads++
	return c.Store.Get(ctx, key)
}

func (c countingClient) Commit(ctx context.Context, t store.Txn) (int64, bool, error) {
	c.calls.writes++
	return c.Store.Commit(ctx, t)
}

func (c countingClient) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	c.calls.leases++
	return c.Store.Grant(ctx, ttl)
}

func (c countingClient) Renew(ctx context.Context, id store.LeaseID) error {
	c.calls.leases++
	return c.Store.Renew(ctx, id)
}

func (c countingClient) Read(ctx context.Context, addr string) (orders.State, error) {
	c.calls.engineReads++
	return c.Client.Read(ctx, addr)
}

// candidate is a node that competes for the issuer lease of a pool.
type candidate struct {
	keeper *lease.Keeper
	issuer *orders.Issuer
	dead   bool
}

type pool struct {
	candidates []*candidate
	engines    []*orderstest.Engine
	targets    []orders.Target
}

type fleet struct {
	size       size
	now        time.Time
	calls      calls
	pools      []*pool
	spec       orders.Spec
	issuerHeap int64 // heap bytes of all issuers and standbys
}

func newFleet(sz size) *fleet {
	f := &fleet{size: sz, now: time.Unix(0, 0)}
	f.setVersion(1)
	clock := func() time.Time { return f.now }
	s := memory.New(clock)
	client := &orderstest.Client{Engines: make(map[string]*orderstest.Engine)}
	for i := range sz.pools {
		p := &pool{}
		for j := range sz.engines {
			id := fmt.Sprintf("engine-%d-%d", i, j)
			e := orderstest.NewEngine(1, clock)
			e.SetFaults(orderstest.Faults{IgnoreFencing: true, LoadMS: int(loadTime.Milliseconds())})
			client.Engines[id] = e
			p.engines = append(p.engines, e)
			p.targets = append(p.targets, orders.Target{ID: id, Addr: id, Incarnation: 1})
		}
		f.pools = append(f.pools, p)
	}
	before := heapInUse()
	for i, p := range f.pools {
		for _, node := range []string{"a", "b"} {
			p.candidates = append(p.candidates, newCandidate(countingClient{s, client, &f.calls}, fmt.Sprintf("pool-%d", i), node, clock))
		}
	}
	f.run(time.Minute, nil)
	f.issuerHeap = heapInUse() - before
	return f
}

func newCandidate(c countingClient, name, node string, clock func() time.Time) *candidate {
	reg := prometheus.NewRegistry()
	k := lease.NewKeeper(c, lease.DefaultConfig(), orders.LeaseName("r", name), node, lease.NewMetrics(reg), clock)
	return &candidate{keeper: k, issuer: orders.NewIssuer(orders.IssuerConfig{
		Node: node, Region: "r", Limits: orders.DefaultLimits(), Store: c, Client: c,
		Metrics: orders.NewMetrics(reg), Log: log.New(io.Discard), Now: clock,
	}, name, k)}
}

func (f *fleet) setVersion(v int) {
	f.spec = orders.Spec{Revision: int64(v), Fencing: orders.FencingIgnored, Desired: orders.Desired{
		Model: "m", Version: fmt.Sprint(v), Role: orders.RoleBoth,
	}}
}

// run advances virtual time by d, or until done returns true, and returns the time
// that passed.
func (f *fleet) run(d time.Duration, done func() bool) time.Duration {
	start := f.now
	for f.now.Sub(start) < d && (done == nil || !done()) {
		f.now = f.now.Add(step)
		for _, p := range f.pools {
			for _, c := range p.candidates {
				f.tick(p, c)
			}
		}
	}
	return f.now.Sub(start)
}

func (f *fleet) tick(p *pool, c *candidate) {
	if c.dead {
		return
	}
	ctx := context.Background()
	c.keeper.Step(ctx)
	c.issuer.Tick(ctx, f.spec, p.targets)
}

func (f *fleet) converged() bool {
	for _, p := range f.pools {
		for _, e := range p.engines {
			s := e.State()
			if s.Phase != orders.PhaseReady || !s.Current.Equal(f.spec.Desired) {
				return false
			}
		}
	}
	return true
}

func (f *fleet) measure(context.Context) row {
	r := row{pools: f.size.pools, engines: f.size.engines}
	r.heapKB = float64(f.issuerHeap) / 1024 / float64(f.size.pools)
	f.run(maxWait, f.converged) // initial load: engines start without a model
	f.run(time.Minute, nil)

	before, cpu := f.calls, time.Now()
	f.run(settledTime, nil)
	r.cpuMicros = perSecond(int(time.Since(cpu).Microseconds())) / float64(f.size.pools)
	r.storeReads = perSecond(f.calls.reads - before.reads)
	r.storeWrites = perSecond(f.calls.writes - before.writes)
	r.leaseCalls = perSecond(f.calls.leases - before.leases)
	r.engineReads = perSecond(f.calls.engineReads - before.engineReads)

	f.setVersion(2)
	before = f.calls
	r.rollOut = f.run(maxWait, f.converged).Seconds()
	r.writesRolling = float64(f.calls.writes-before.writes) / r.rollOut
	r.takeover = f.takeover().Seconds()
	return r
}

// takeover kills the issuer of the first pool while it holds the lease, changes the
// desired version, and returns the time until the standby's first order.
func (f *fleet) takeover() time.Duration {
	p := f.pools[0]
	sent := func() int {
		n := 0
		for _, e := range p.engines {
			n += len(e.AppliedOrders())
		}
		return n
	}
	for _, c := range p.candidates {
		if _, ok := c.keeper.Held(); ok {
			c.dead = true
		}
	}
	f.setVersion(3)
	before := sent()
	return f.run(maxWait, func() bool { return sent() > before })
}

func perSecond(n int) float64 { return float64(n) / settledTime.Seconds() }

// heapInUse returns the heap bytes in use. It collects garbage twice so that memory
// with finalizers is freed.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
