package orders_test

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/lease"
	"github.com/knapweedgw/knapweedgw/orders"
	"github.com/knapweedgw/knapweedgw/orders/orderstest"
	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/memory"
)

// simulation is a pool with two contending nodes on virtual time. While one node is
// paused in a call, the other one runs.
type simulation struct {
	t                  *rapid.T
	now                time.Time
	store              *memory.Store
	targets            []orders.Target
	engines            []*orderstest.Engine
	nodes              [2]*node
	limits             orders.Limits
	spec               orders.Spec
	faulty             bool          // inject generated faults
	maxPauseAfterGuard time.Duration // longest pause between the guard and the order taking effect
	longPauses         int           // such pauses longer than a new issuer waits
	lateOrders         int           // orders that took effect after the end of their term
	paused             bool          // a node is paused; the other one isn't
}

type node struct {
	*memory.Store
	sim    *simulation
	other  *node
	keeper *lease.Keeper
	issuer *orders.Issuer
	spec   orders.Spec // as last read by this node
}

func newSimulation(t *rapid.T, fencing orders.Fencing, maxPauseAfterGuard time.Duration) *simulation {
	sim := &simulation{t: t, now: time.Unix(1000, 0), limits: orders.DefaultLimits(), faulty: true, maxPauseAfterGuard: maxPauseAfterGuard}
	sim.limits.ReadEvery = 5 * time.Second
	sim.limits.MaxLoading, sim.limits.Canaries, sim.limits.MaxOutShare = 2, 1, 1
	load := rapid.SampledFrom([]int{0, 1500, 30_000}).Draw(t, "load_ms")
	clock := func() time.Time { return sim.now }
	sim.store = memory.New(clock)
	for i := range rapid.IntRange(1, 7).Draw(t, "engines") {
		id := fmt.Sprintf("e%d", i)
		e := orderstest.NewEngine(1, clock)
		e.SetFaults(orderstest.Faults{IgnoreFencing: fencing != orders.FencingChecked, LoadMS: load})
		sim.engines = append(sim.engines, e)
		sim.targets = append(sim.targets, orders.Target{ID: id, Addr: id, Incarnation: 1})
	}
	sim.setVersion(1, fencing)
	for i := range sim.nodes {
		sim.nodes[i] = sim.newNode(fmt.Sprintf("n%d", i), sim.byAddr())
	}
	sim.nodes[0].other, sim.nodes[1].other = sim.nodes[1], sim.nodes[0]
	return sim
}

func (sim *simulation) newNode(name string, engines map[string]*orderstest.Engine) *node {
	n := &node{Store: sim.store, sim: sim, spec: sim.spec}
	clock := func() time.Time { return sim.now }
	m := lease.NewMetrics(prometheus.NewRegistry())
	n.keeper = lease.NewKeeper(n, lease.DefaultConfig(), orders.LeaseName("r", "p"), name, m, clock)
	n.issuer = sim.newIssuer(n, &orderstest.Client{
		Engines:     engines,
		BeforeGuard: func() { n.pause(30 * time.Second) },
		AfterGuard:  n.pauseAfterGuard,
	})
	return n
}

func (sim *simulation) newIssuer(n *node, c orders.EngineClient) *orders.Issuer {
	return orders.NewIssuer(orders.IssuerConfig{
		Node: "n", Region: "r", Limits: sim.limits, Store: n, Client: c,
		Metrics: orders.NewMetrics(prometheus.NewRegistry()), Log: log.New(io.Discard),
		Now: func() time.Time { return sim.now },
	}, "p", n.keeper)
}

func (sim *simulation) byAddr() map[string]*orderstest.Engine {
	engines := make(map[string]*orderstest.Engine)
	for i, e := range sim.engines {
		engines[sim.targets[i].Addr] = e
	}
	return engines
}

func (sim *simulation) setVersion(v int64, fencing orders.Fencing) {
	sim.spec = orders.Spec{Revision: v, Fencing: fencing, Desired: orders.Desired{
		Model: "m", Version: fmt.Sprintf("%04d", v), Role: orders.RoleBoth,
	}}
}

// pause stops the node for a generated time up to longest while the other one runs.
func (n *node) pause(longest time.Duration) time.Duration {
	if !n.sim.faulty || n.sim.paused || rapid.IntRange(0, 3).Draw(n.sim.t, "pauses") > 0 {
		return 0
	}
	d := n.drawPause(longest)
	n.sim.paused = true
	defer func() { n.sim.paused = false }()
	for end := n.sim.now.Add(d); n.sim.now.Before(end); {
		n.sim.now = n.sim.now.Add(min(250*time.Millisecond, end.Sub(n.sim.now)))
		n.other.run()
	}
	return d
}

// drawPause generates the length of a pause. It prefers the longest one and the one
// that ends 1 ms before the node's term does.
func (n *node) drawPause(longest time.Duration) time.Duration {
	switch rapid.IntRange(0, 3).Draw(n.sim.t, "kind") {
	case 0:
		return longest
	case 1:
		if term, ok := n.keeper.Held(); ok {
			return min(longest, term.ValidUntil.Sub(n.sim.now)-time.Millisecond)
		}
	}
	return time.Duration(rapid.Int64Range(0, longest.Milliseconds()).Draw(n.sim.t, "pause")) * time.Millisecond
}

func (n *node) pauseAfterGuard() {
	if n.pause(n.sim.maxPauseAfterGuard) > n.sim.limits.OrderTimeout+n.sim.limits.Settle {
		n.sim.longPauses++
	}
	if _, ok := n.keeper.Held(); !ok {
		n.sim.lateOrders++
	}
}

func (n *node) run() {
	n.keeper.Step(context.Background())
	if rapid.IntRange(0, 24).Draw(n.sim.t, "settings") == 0 || !n.sim.faulty {
		n.spec = n.sim.spec
	}
	n.issuer.Tick(context.Background(), n.spec, n.sim.targets)
}

// call runs one store call with generated pauses, an outage or a lost response.
func (n *node) call(f func() error) error {
	n.pause(30 * time.Second)
	fault := 9
	if n.sim.faulty {
		fault = rapid.IntRange(0, 9).Draw(n.sim.t, "fault")
	}
	if fault == 0 {
		return store.ErrUnavailable
	}
	err := f()
	n.pause(30 * time.Second)
	if fault == 1 {
		return store.ErrUncertain
	}
	return err
}

func (n *node) Get(ctx context.Context, key string) (kv store.KV, ok bool, err error) {
	fault := n.call(func() error { kv, ok, err = n.Store.Get(ctx, key); return err })
	return kv, ok, fault
}

func (n *node) Commit(ctx context.Context, t store.Txn) (rev int64, ok bool, err error) {
	fault := n.call(func() error { rev, ok, err = n.Store.Commit(ctx, t); return err })
	return rev, ok, fault
}

func (n *node) Grant(ctx context.Context, ttl time.Duration) (id store.LeaseID, err error) {
	fault := n.call(func() error { id, err = n.Store.Grant(ctx, ttl); return err })
	return id, fault
}

func (n *node) Renew(ctx context.Context, id store.LeaseID) error {
	return n.call(func() error { return n.Store.Renew(ctx, id) })
}

func (n *node) Revoke(ctx context.Context, id store.LeaseID) error {
	return n.call(func() error { return n.Store.Revoke(ctx, id) })
}

// restart gives an engine a new incarnation, in the list of targets too.
func (sim *simulation) restart(i int) {
	sim.targets[i].Incarnation++
	sim.engines[i].Restart(sim.targets[i].Incarnation)
}

// stale returns the number of orders applied after one with a greater fencing number,
// and of those applied after one for a newer version.
func (sim *simulation) stale() (fences, versions int) {
	for _, e := range sim.engines {
		var fence int64
		version := ""
		for _, entry := range e.AppliedOrders() {
			if entry.Order.Fence < fence {
				fences++
			}
			if entry.Order.Desired.Version < version {
				versions++
			}
			fence = max(fence, entry.Order.Fence)
			version = max(version, entry.Order.Desired.Version)
		}
	}
	return fences, versions
}

func (sim *simulation) loading() int {
	n := 0
	for _, e := range sim.engines {
		if e.State().Phase == orders.PhaseLoading {
			n++
		}
	}
	return n
}

// runWithoutFaults runs both nodes until the pool has converged, for at most d.
func (sim *simulation) runWithoutFaults(d time.Duration) {
	sim.faulty = false
	for end := sim.now.Add(d); sim.now.Before(end) && !sim.converged(); {
		sim.now = sim.now.Add(time.Second)
		sim.nodes[0].run()
		sim.nodes[1].run()
	}
}

// fence returns the fencing number of the current term, 0 if there is none.
func (sim *simulation) fence() int64 {
	for _, n := range sim.nodes {
		if term, ok := n.keeper.Held(); ok {
			return term.Fence
		}
	}
	return 0
}

// converged reports whether every engine is in the desired state and, if it checks
// fencing numbers, refuses those of older terms.
func (sim *simulation) converged() bool {
	fence := sim.fence()
	for _, e := range sim.engines {
		s := e.State()
		if sim.spec.Fencing == orders.FencingChecked && s.Fence != fence {
			return false
		}
		if s.Phase != orders.PhaseReady || !s.Current.Equal(sim.spec.Desired) {
			return false
		}
	}
	return true
}
