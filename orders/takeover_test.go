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

// TestLastOrderOfAnOldTerm pauses an issuer after the guard of an order that it
// sends in the last moment of its term, for as long as a new issuer waits. The
// old order must be the first that the engine applies.
func TestLastOrderOfAnOldTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		w := newWorld(t, orders.FencingIgnored, 0)
		w.faulty = false
		old := w.nodes[0]
		for _, e := range w.engines {
			e.SetFaults(orderstest.Faults{IgnoreFencing: true})
		}
		w.passWhile(old, time.Minute)
		is.True(w.converged())

		client := &orderstest.Client{Engines: w.byAddr()}
		client.AfterGuard = func() {
			w.passWhile(old.other, w.limits.OrderTimeout+w.limits.Settle)
		}
		old.issuer = w.newIssuer(old, client)
		before := w.spec
		w.setVersion(2, orders.FencingIgnored)
		term, ok := old.keeper.Held()
		is.True(ok)
		for end := term.ValidUntil.Add(-time.Millisecond); w.now.Before(end); {
			w.now = w.now.Add(min(time.Second, end.Sub(w.now)))
			old.issuer.Tick(context.Background(), before, w.targets) // without renewing
		}
		old.issuer.Tick(context.Background(), w.spec, w.targets)
		fences, _ := w.stale()
		is.Equal(fences, 0)
		w.calm(healing)
		is.True(w.converged())
	})
}

// passWhile lets time pass in which only one node runs.
func (w *world) passWhile(n *node, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(min(250*time.Millisecond, end.Sub(w.now)))
		n.run()
	}
}
