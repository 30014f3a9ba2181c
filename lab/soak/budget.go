package soak

import (
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
)

// retryBudget is the bound on retries in the nodes' settings.
var retryBudget = standin.RetryBudget{Share: 0.2, Slack: 54, Window: 10 * time.Second}

// checkRetryBudgets checks that in each window no service got more repeats of requests than the nodes' budget allows.
func (r *run) checkRetryBudgets() {
	c := r.checker
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, sent := range c.sent {
		repeats := r.journal.Repeats(func(request string) bool {
			path, known := c.paths[request]
			return known && c.services[path] == service
		})
		if excess := retryBudget.Exceeded(sent, repeats); excess != "" {
			c.broken("retries to %s exceed their budget: %s", service, excess)
		}
	}
}
