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
	step        = 500 * time.Millisecond // the issuers' tick
	loadTime    = 30 * time.Second       // of one engine
	settledTime = 10 * time.Minute       // over which rates are taken
	longest     = 4 * time.Hour          // of a roll-out
)

// calls counts what the issuers ask of the store and of engines.
type calls struct{ reads, writes, leases, engineReads int }

// counted is a store and an engine client that count their calls.
type counted struct {
	*memory.Store
	*orderstest.Client
	n *calls
}

func (c counted) Get(ctx context.Context, key string) (store.KV, bool, error) {
	c.n.reads++
	return c.Store.Get(ctx, key)
}

func (c counted) Commit(ctx context.Context, t store.Txn) (int64, bool, error) {
	c.n.writes++
	return c.Store.Commit(ctx, t)
}

func (c counted) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	c.n.leases++
	return c.Store.Grant(ctx, ttl)
}

func (c counted) Renew(ctx context.Context, id store.LeaseID) error {
	c.n.leases++
	return c.Store.Renew(ctx, id)
}

func (c counted) Read(ctx context.Context, addr string) (orders.State, error) {
	c.n.engineReads++
	return c.Client.Read(ctx, addr)
}

// contender is one node's part in a pool.
type contender struct {
	keeper *lease.Keeper
	issuer *orders.Issuer
	dead   bool
}

type pool struct {
	contenders []*contender
	engines    []*orderstest.Engine
	targets    []orders.Target
}

type fleet struct {
	size  size
	now   time.Time
	n     calls
	pools []*pool
	spec  orders.Spec
	heap  int64 // bytes of all issuers
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
	before := heap()
	for i, p := range f.pools {
		for _, node := range []string{"a", "b"} {
			p.contenders = append(p.contenders, newContender(counted{s, client, &f.n}, fmt.Sprintf("pool-%d", i), node, clock))
		}
	}
	f.run(time.Minute, nil)
	f.heap = heap() - before
	return f
}

func newContender(c counted, name, node string, clock func() time.Time) *contender {
	reg := prometheus.NewRegistry()
	k := lease.NewKeeper(c, lease.DefaultConfig(), orders.LeaseName("r", name), node, lease.NewMetrics(reg), clock)
	return &contender{keeper: k, issuer: orders.NewIssuer(orders.IssuerConfig{
		Node: node, Region: "r", Limits: orders.DefaultLimits(), Store: c, Client: c,
		Metrics: orders.NewMetrics(reg), Log: log.New(io.Discard), Now: clock,
	}, name, k)}
}

func (f *fleet) setVersion(v int) {
	f.spec = orders.Spec{Revision: int64(v), Fencing: orders.FencingIgnored, Desired: orders.Desired{
		Model: "m", Version: fmt.Sprint(v), Role: orders.RoleBoth,
	}}
}

// run goes on for d or until done, and returns how long it took.
func (f *fleet) run(d time.Duration, done func() bool) time.Duration {
	start := f.now
	for f.now.Sub(start) < d && (done == nil || !done()) {
		f.now = f.now.Add(step)
		for _, p := range f.pools {
			for _, c := range p.contenders {
				f.tick(p, c)
			}
		}
	}
	return f.now.Sub(start)
}

func (f *fleet) tick(p *pool, c *contender) {
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
	r.heapKB = float64(f.heap) / 1024 / float64(f.size.pools)
	f.run(longest, f.converged) // from empty
	f.run(time.Minute, nil)

	before, cpu := f.n, time.Now()
	f.run(settledTime, nil)
	r.cpuMicros = perSecond(int(time.Since(cpu).Microseconds())) / float64(f.size.pools)
	r.storeReads = perSecond(f.n.reads - before.reads)
	r.storeWrites = perSecond(f.n.writes - before.writes)
	r.leaseCalls = perSecond(f.n.leases - before.leases)
	r.engineReads = perSecond(f.n.engineReads - before.engineReads)

	f.setVersion(2)
	before = f.n
	r.rollOut = f.run(longest, f.converged).Seconds()
	r.writesRolling = float64(f.n.writes-before.writes) / r.rollOut
	r.takeover = f.takeover().Seconds()
	return r
}

// takeover kills the issuer of the first pool in mid-term, asks for another
// version, and returns the time to the standby's first order.
func (f *fleet) takeover() time.Duration {
	p := f.pools[0]
	sent := func() int {
		n := 0
		for _, e := range p.engines {
			n += len(e.AppliedOrders())
		}
		return n
	}
	for _, c := range p.contenders {
		if _, ok := c.keeper.Held(); ok {
			c.dead = true
		}
	}
	f.setVersion(3)
	before := sent()
	return f.run(longest, func() bool { return sent() > before })
}

func perSecond(n int) float64 { return float64(n) / settledTime.Seconds() }

// heap returns the bytes in use once finalizers have run.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
