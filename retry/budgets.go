package retry

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrBudgetSpent means that the budget was used up by the time at which a granted retry would have been sent.
var ErrBudgetSpent = errors.New("the retry budget was spent while the retry waited")

// BudgetOutcome names a decision on a retry in logs and metrics. A retry is granted when it is decided on, and
// charged at the time at which it is sent.
type BudgetOutcome string

// The outcomes. Spent is the one of ErrBudgetSpent.
const (
	BudgetGranted BudgetOutcome = "granted"
	BudgetRefused BudgetOutcome = "refused"
	BudgetSent    BudgetOutcome = "sent"
	BudgetSpent   BudgetOutcome = "spent"
)

// DecideOutcome returns the outcome of a decision that is made when a retry is decided on.
func (d BudgetDecision) DecideOutcome() BudgetOutcome {
	if d.Allowed {
		return BudgetGranted
	}
	return BudgetRefused
}

// SendOutcome returns the outcome of a decision that is made when a retry is sent.
func (d BudgetDecision) SendOutcome() BudgetOutcome {
	if d.Allowed {
		return BudgetSent
	}
	return BudgetSpent
}

// LogFields returns what the decision rests on, as keys and values.
func (d BudgetDecision) LogFields() []any {
	return []any{"charged", d.Charged, "earned", d.Earned, "slack", d.Slack, "nodes", d.Nodes}
}

// Budgets holds a process's window of each service. It is safe for concurrent use.
type Budgets struct {
	cfg     WindowConfig
	started time.Time

	mu      sync.Mutex
	windows map[string]*Window
}

// NewBudgets returns the unused budgets of a process that started at the given time.
func NewBudgets(cfg WindowConfig, started time.Time) *Budgets {
	return &Budgets{cfg: cfg, started: started, windows: make(map[string]*Window)}
}

// RecordNewFleet records that no process of the fleet has run before, so that nothing of the slack has been used.
func (b *Budgets) RecordNewFleet() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started = b.started.Add(-b.cfg.Window)
	for _, w := range b.windows {
		w.setStarted(b.started)
	}
}

// Window returns the window of a service.
func (b *Budgets) Window(service string) *Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.windows[service]
	if !ok {
		w = NewWindow(b.cfg, b.started)
		b.windows[service] = w
	}
	return w
}
