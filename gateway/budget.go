package gateway

import (
	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/retry"
)

var errBudgetSpent = errors.New("the retry budget was spent while the retry waited")

// retryBudget charges the retries of one request to the budget of its pool.
type retryBudget struct {
	window   *retry.Window
	fleet    Fleet
	reserved *retry.Charge // nil for none
}

// newRetryBudget counts a request to a pool and returns its budget.
func (g *Gateway) newRetryBudget(pool string) *retryBudget {
	b := &retryBudget{window: g.budgets.Window(pool), fleet: g.fleet}
	b.window.Request(clock.Monotonic())
	return b
}

func (b *retryBudget) shares() int {
	if b.fleet == nil {
		return 1
	}
	return b.fleet.LimitShares()
}

// reserve reserves a retry when it is decided on.
func (b *retryBudget) reserve() retry.BudgetDecision {
	c, d := b.window.Take(clock.Monotonic(), b.shares())
	if d.Allowed {
		b.reserved = &c
	}
	return d
}

// charge charges the reserved retry, if there is one, at the time at which it is sent.
func (b *retryBudget) charge() retry.BudgetDecision {
	if b.reserved == nil {
		return retry.BudgetDecision{Allowed: true}
	}
	c := *b.reserved
	b.reserved = nil
	return b.window.Renew(c, clock.Monotonic(), b.shares())
}

// cancel takes back a reserved retry that was not sent.
func (b *retryBudget) cancel() {
	if b.reserved != nil {
		b.window.Cancel(*b.reserved)
	}
}

// logBudget logs a decision that refuses a retry.
func (g *Gateway) logBudget(c *call, d retry.BudgetDecision) {
	c.log().Warn("retry not in the budget", "charged", d.Charged, "earned", d.Earned, "slack", d.Slack, "nodes", d.Nodes)
}
