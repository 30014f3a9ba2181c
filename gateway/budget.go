package gateway

import (
	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/retry"
)

// retryBudget charges the retries of one call to the budget of its pool.
type retryBudget struct {
	g           *Gateway
	c           *call
	pool        string
	reservation *retry.Reservation
}

// newRetryBudget counts a call to a pool and returns its budget.
func (g *Gateway) newRetryBudget(c *call, pool string) *retryBudget {
	w := g.budgets.Window(pool)
	w.Request(clock.Monotonic())
	return &retryBudget{g: g, c: c, pool: pool, reservation: w.NewReservation()}
}

// reserve reserves a retry when it is decided on. It returns false if none is left.
func (b *retryBudget) reserve() bool {
	d := b.reservation.Reserve(clock.Monotonic(), b.shares())
	b.record(d, d.DecideOutcome())
	return d.Allowed
}

// charge charges the reserved retry, if there is one, at the time at which it is sent. It returns false if the
// budget doesn't allow it now.
func (b *retryBudget) charge() bool {
	if !b.reservation.Held() {
		return true
	}
	d := b.reservation.Send(clock.Monotonic(), b.shares())
	b.record(d, d.SendOutcome())
	return d.Allowed
}

// cancel takes back a reserved retry that was not sent.
func (b *retryBudget) cancel() { b.reservation.Cancel() }

func (b *retryBudget) shares() int {
	if b.g.fleet == nil {
		return 1
	}
	return b.g.fleet.LimitShares()
}

// record counts a decision on the retry budget, and logs it if it refuses the retry.
func (b *retryBudget) record(d retry.BudgetDecision, outcome retry.BudgetOutcome) {
	b.g.metrics.budget.WithLabelValues(b.pool, string(outcome)).Inc()
	if !d.Allowed {
		b.c.log().Warn("retry not in the budget", append([]any{"pool", b.pool, "outcome", outcome}, d.LogFields()...)...)
	}
}
