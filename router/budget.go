package router

import (
	"github.com/knapweedgw/knapweedgw/retry"
)

// takeRetry charges a retry to the service's retry budget. It returns false if none is left.
func (x *exchange) takeRetry() bool {
	d := x.router.window(x.service).Take(x.router.now(), x.router.fleet.LiveNodes())
	x.budget.Store(&d)
	outcome := budgetOutcome(d)
	m := x.router.metrics
	m.budget.WithLabelValues(x.service, outcome).Inc()
	m.budgetLeft.WithLabelValues(x.service).Set(d.Left())
	if !d.Allowed {
		x.router.log.Warn("retry not in the budget", append([]any{"request", x.call.ID, "service", x.service}, x.budgetFields()...)...)
	}
	return d.Allowed
}

// budgetFields returns the log fields of the last decision on the retry budget.
func (x *exchange) budgetFields() []any {
	d := x.budget.Load()
	if d == nil {
		return nil
	}
	return []any{"budget", budgetOutcome(*d), "charged", d.Charged, "earned", d.Earned, "slack", d.Slack, "nodes", d.Nodes}
}

// Outcomes of a decision on the retry budget.
const (
	budgetGranted = "granted"
	budgetUsedUp  = "used_up"
)

func budgetOutcome(d retry.BudgetDecision) string {
	if d.Allowed {
		return budgetGranted
	}
	return budgetUsedUp
}
