package router

import (
	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/retry"
)

var errBudgetSpent = errors.New("the retry budget was spent while the retry waited")

// Outcomes of a decision on the retry budget. A retry is granted when it is decided on, and charged at the time
// at which it is sent.
const (
	budgetGranted = "granted"
	budgetRefused = "refused"
	budgetSent    = "sent"
	// budgetSpent: the budget was used up by the time at which a granted retry would have been sent.
	budgetSpent = "spent"
)

// reserveRetry reserves a retry of the service's budget, unless one is reserved already. It returns false if
// none is left.
func (x *exchange) reserveRetry() bool {
	if x.reservation.Held() {
		return true
	}
	d := x.reservation.Reserve(x.router.now(), x.router.fleet.LimitShares())
	if !d.Allowed {
		x.recordBudget(d, budgetRefused)
		return false
	}
	x.recordBudget(d, budgetGranted)
	return true
}

// chargeSend charges the attempt whose first byte is about to be written, unless it is the first one to reach a
// target. It returns false if the budget doesn't allow it now.
func (x *exchange) chargeSend() bool {
	if !x.arrived || x.charged {
		return true
	}
	d := x.reservation.Send(x.router.now(), x.router.fleet.LimitShares())
	x.charged, x.overBudget = d.Allowed, !d.Allowed
	if d.Allowed {
		x.recordBudget(d, budgetSent)
	} else {
		x.recordBudget(d, budgetSpent)
	}
	return d.Allowed
}

// recordBudget logs and counts a decision on the retry budget.
func (x *exchange) recordBudget(d retry.BudgetDecision, outcome string) {
	m := x.router.metrics
	m.budget.WithLabelValues(x.service, outcome).Inc()
	m.budgetLeft.WithLabelValues(x.service).Set(d.Left())
	if outcome == budgetGranted {
		x.budget.Store(&d)
	}
	if !d.Allowed {
		x.router.log.Warn("retry not in the budget", append([]any{
			"request", x.call.ID, "service", x.service, "outcome", outcome,
		}, budgetFields(&d)...)...)
	}
}

// budgetFields returns the log fields of a decision on the retry budget, nil for none.
func budgetFields(d *retry.BudgetDecision) []any {
	if d == nil {
		return nil
	}
	return []any{"charged", d.Charged, "earned", d.Earned, "slack", d.Slack, "nodes", d.Nodes}
}
