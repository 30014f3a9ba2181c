package router

import "github.com/knapweedgw/knapweedgw/retry"

// reserveRetry reserves a retry of the service's budget, unless one is reserved already. It returns false if
// none is left.
func (x *exchange) reserveRetry() bool {
	if x.reservation.Held() {
		return true
	}
	d := x.reservation.Reserve(x.router.now(), x.router.fleet.LimitShares())
	x.recordBudget(d, d.DecideOutcome())
	if d.Allowed {
		x.budget.Store(&d)
	}
	return d.Allowed
}

// chargeSend charges the attempt whose first byte is about to be written, unless it is the first one to reach a
// target. It returns false if the budget doesn't allow it now.
func (x *exchange) chargeSend() bool {
	if !x.arrived || x.charged {
		return true
	}
	d := x.reservation.Send(x.router.now(), x.router.fleet.LimitShares())
	x.charged, x.overBudget = d.Allowed, !d.Allowed
	x.recordBudget(d, d.SendOutcome())
	return d.Allowed
}

// recordBudget counts a decision on the retry budget, and logs it if it refuses the retry.
func (x *exchange) recordBudget(d retry.BudgetDecision, outcome retry.BudgetOutcome) {
	m := x.router.metrics
	m.budget.WithLabelValues(x.service, string(outcome)).Inc()
	m.budgetLeft.WithLabelValues(x.service).Set(d.Left())
	if !d.Allowed {
		x.router.log.Warn("retry not in the budget",
			append([]any{"request", x.call.ID, "service", x.service, "outcome", outcome}, d.LogFields()...)...)
	}
}

// budgetFields returns the log fields of the decision that granted the last retry, nil if there is none.
func (x *exchange) budgetFields() []any {
	if d := x.budget.Load(); d != nil {
		return d.LogFields()
	}
	return nil
}
