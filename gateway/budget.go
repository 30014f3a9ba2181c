package gateway

import (
	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/retry"
)

var errBudgetSpent = errors.New("the retry budget was spent while the retry waited")

// retryBudget charges the retries of one request to the budget of its pool.
type retryBudget struct {
	*retry.Reservation
	fleet Fleet
}

// newRetryBudget counts a request to a pool and returns its budget.
func (g *Gateway) newRetryBudget(pool string) *retryBudget {
	w := g.budgets.Window(pool)
	w.Request(clock.Monotonic())
	return &retryBudget{Reservation: w.NewReservation(), fleet: g.fleet}
}

func (b *retryBudget) shares() int {
	if b.fleet == nil {
		return 1
	}
	return b.fleet.LimitShares()
}

// reserve reserves a retry when it is decided on.
func (b *retryBudget) reserve() retry.BudgetDecision { return b.Reserve(clock.Monotonic(), b.shares()) }

// charge charges the reserved retry, if there is one, at the time at which it is sent.
func (b *retryBudget) charge() retry.BudgetDecision {
	if !b.Held() {
		return retry.BudgetDecision{Allowed: true}
	}
	return b.Send(clock.Monotonic(), b.shares())
}

// logBudget logs a decision that refuses a retry.
func (g *Gateway) logBudget(c *call, d retry.BudgetDecision) {
	c.log().Warn("retry not in the budget", "charged", d.Charged, "earned", d.Earned, "slack", d.Slack, "nodes", d.Nodes)
}
