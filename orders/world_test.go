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

// world is a pool with two contending nodes on virtual time. While one node is
// paused in a call, the other goes on.
type world struct {
	t        *rapid.T
	now      time.Time
	store    *memory.Store
	targets  []orders.Target
	engines  []*orderstest.Engine
	nodes    [2]*node
	limits   orders.Limits
	spec     orders.Spec
	faulty   bool          // generate faults
	maxArmed time.Duration // longest pause between guard and effect
	overlong int           // pauses there beyond what a new issuer waits
	late     int           // orders that took effect when their term was over
	nested   bool
}

type node struct {
	*memory.Store
	w      *world
	other  *node
	keeper *lease.Keeper
	issuer *orders.Issuer
	spec   orders.Spec // as this node has read it
}

func newWorld(t *rapid.T, fencing orders.Fencing, maxArmed time.Duration) *world {
	w := &world{t: t, now: time.Unix(1000, 0), limits: orders.DefaultLimits(), faulty: true, maxArmed: maxArmed}
	w.limits.ReadEvery = 5 * time.Second
	w.limits.MaxLoading, w.limits.Canaries, w.limits.MaxOutShare = 2, 1, 1
	load := rapid.SampledFrom([]int{0, 1500, 30_000}).Draw(t, "load_ms")
	clock := func() time.Time { return w.now }
	w.store = memory.New(clock)
	for i := range rapid.IntRange(1, 7).Draw(t, "engines") {
		id := fmt.Sprintf("e%d", i)
		e := orderstest.NewEngine(1, clock)
		e.SetFaults(orderstest.Faults{IgnoreFencing: fencing != orders.FencingChecked, LoadMS: load})
		w.engines = append(w.engines, e)
		w.targets = append(w.targets, orders.Target{ID: id, Addr: id, Incarnation: 1})
	}
	w.setVersion(1, fencing)
	for i := range w.nodes {
		w.nodes[i] = w.newNode(fmt.Sprintf("n%d", i), w.byAddr())
	}
	w.nodes[0].other, w.nodes[1].other = w.nodes[1], w.nodes[0]
	return w
}

func (w *world) newNode(name string, engines map[string]*orderstest.Engine) *node {
	n := &node{Store: w.store, w: w, spec: w.spec}
	clock := func() time.Time { return w.now }
	m := lease.NewMetrics(prometheus.NewRegistry())
	n.keeper = lease.NewKeeper(n, lease.DefaultConfig(), orders.Duty("r", "p"), name, m, clock)
	n.issuer = w.newIssuer(n, &orderstest.Client{
		Engines:     engines,
		BeforeGuard: func() { n.pause(30 * time.Second) },
		AfterGuard:  n.pauseArmed,
	})
	return n
}

func (w *world) newIssuer(n *node, c orders.EngineClient) *orders.Issuer {
	return orders.NewIssuer(orders.Deps{
		Node: "n", Region: "r", Limits: w.limits, Store: n, Client: c,
		Metrics: orders.NewMetrics(prometheus.NewRegistry()), Log: log.New(io.Discard),
		Now: func() time.Time { return w.now },
	}, "p", n.keeper)
}

func (w *world) byAddr() map[string]*orderstest.Engine {
	engines := make(map[string]*orderstest.Engine)
	for i, e := range w.engines {
		engines[w.targets[i].Addr] = e
	}
	return engines
}

func (w *world) setVersion(v int64, fencing orders.Fencing) {
	w.spec = orders.Spec{Revision: v, Fencing: fencing, Desired: orders.Desired{
		Model: "m", Version: fmt.Sprintf("%04d", v), Role: orders.RoleBoth,
	}}
}

// pause stops the node for up to longest while the other node goes on.
func (n *node) pause(longest time.Duration) time.Duration {
	if !n.w.faulty || n.w.nested || rapid.IntRange(0, 3).Draw(n.w.t, "pauses") > 0 {
		return 0
	}
	d := n.drawPause(longest)
	n.w.nested = true
	defer func() { n.w.nested = false }()
	for end := n.w.now.Add(d); n.w.now.Before(end); {
		n.w.now = n.w.now.Add(min(250*time.Millisecond, end.Sub(n.w.now)))
		n.other.run()
	}
	return d
}

// drawPause prefers the longest pause and the one that ends with the node's
// belief in its lease.
func (n *node) drawPause(longest time.Duration) time.Duration {
	switch rapid.IntRange(0, 3).Draw(n.w.t, "kind") {
	case 0:
		return longest
	case 1:
		if term, ok := n.keeper.Held(); ok {
			return min(longest, term.ValidUntil.Sub(n.w.now)-time.Millisecond)
		}
	}
	return time.Duration(rapid.Int64Range(0, longest.Milliseconds()).Draw(n.w.t, "pause")) * time.Millisecond
}

func (n *node) pauseArmed() {
	if n.pause(n.w.maxArmed) > n.w.limits.OrderTimeout+n.w.limits.Settle {
		n.w.overlong++
	}
	if _, ok := n.keeper.Held(); !ok {
		n.w.late++
	}
}

func (n *node) run() {
	n.keeper.Step(context.Background())
	if rapid.IntRange(0, 24).Draw(n.w.t, "settings") == 0 || !n.w.faulty {
		n.spec = n.w.spec
	}
	n.issuer.Tick(context.Background(), n.spec, n.w.targets)
}

// call runs one store call with a pause, an outage or a lost answer.
func (n *node) call(f func() error) error {
	n.pause(30 * time.Second)
	fault := 9
	if n.w.faulty {
		fault = rapid.IntRange(0, 9).Draw(n.w.t, "fault")
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

// restart gives an engine a new incarnation, as the VM list then shows it.
func (w *world) restart(i int) {
	w.targets[i].Incarnation++
	w.engines[i].Restart(w.targets[i].Incarnation)
}

// stale counts the orders applied after one with a greater fencing number,
// and those for an older version than was applied before.
func (w *world) stale() (fences, versions int) {
	for _, e := range w.engines {
		var fence int64
		version := ""
		for _, entry := range e.Journal() {
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

func (w *world) loading() int {
	n := 0
	for _, e := range w.engines {
		if e.State().Phase == orders.PhaseLoading {
			n++
		}
	}
	return n
}

// calm runs both nodes without faults until the pool has converged.
func (w *world) calm(d time.Duration) {
	w.faulty = false
	for end := w.now.Add(d); w.now.Before(end) && !w.converged(); {
		w.now = w.now.Add(time.Second)
		w.nodes[0].run()
		w.nodes[1].run()
	}
}

// fence returns the number of the term that goes on, 0 if none does.
func (w *world) fence() int64 {
	for _, n := range w.nodes {
		if term, ok := n.keeper.Held(); ok {
			return term.Fence
		}
	}
	return 0
}

// converged says that every engine is in the desired state and, if it checks
// fencing numbers, refuses those of older terms.
func (w *world) converged() bool {
	fence := w.fence()
	for _, e := range w.engines {
		s := e.State()
		if w.spec.Fencing == orders.FencingChecked && s.Fence != fence {
			return false
		}
		if s.Phase != orders.PhaseReady || !s.Current.Equal(w.spec.Desired) {
			return false
		}
	}
	return true
}
