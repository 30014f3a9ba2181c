package orders_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/orders"
	"github.com/knapweedgw/knapweedgw/orders/orderstest"
)

// TestLastOrderOfAnOldTerm guards against an order of an old term that takes effect
// after the first order of the new term. The old issuer sends an order 1 ms before
// the end of its term and is paused after the guard for as long as a new issuer
// waits; the engine must apply the old order first.
func TestLastOrderOfAnOldTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		sim := newSimulation(t, orders.FencingIgnored, 0)
		sim.faulty = false
		old := sim.nodes[0]
		for _, e := range sim.engines {
			e.SetFaults(orderstest.Faults{IgnoreFencing: true})
		}
		sim.runOnly(old, time.Minute)
		is.True(sim.converged())

		client := &orderstest.Client{Engines: sim.byAddr()}
		client.AfterGuard = func() {
			sim.runOnly(old.other, sim.limits.OrderTimeout+sim.limits.Settle)
		}
		old.issuer = sim.newIssuer(old, client)
		before := sim.spec
		sim.setVersion(2, orders.FencingIgnored)
		term, ok := old.keeper.Held()
		is.True(ok)
		for end := term.ValidUntil.Add(-time.Millisecond); sim.now.Before(end); {
			sim.now = sim.now.Add(min(time.Second, end.Sub(sim.now)))
			old.issuer.Tick(context.Background(), before, sim.targets) // without renewing the lease
		}
		old.issuer.Tick(context.Background(), sim.spec, sim.targets)
		fences, _ := sim.stale()
		is.Equal(fences, 0)
		sim.runWithoutFaults(convergeTimeout)
		is.True(sim.converged())
	})
}

// runOnly advances the time by d while only one node runs.
func (sim *simulation) runOnly(n *node, d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(min(250*time.Millisecond, end.Sub(sim.now)))
		n.run()
	}
}
