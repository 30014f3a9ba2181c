package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/retry"
)

// fakeFleet divides fleet-wide limits among so many nodes.
type fakeFleet int

func (f fakeFleet) LimitShares() int { return int(f) }

// retriesGranted returns how many of 2 * retrySlack failing requests a node retries, of which none earns a retry.
func retriesGranted(t *testing.T, f Fleet, age time.Duration) int {
	t.Helper()
	n := newNode(t, handlers(statusTarget(503), okTarget()), withConfig(func(c *config.Node) { c.RetryShare = 0 }))
	cfg := retry.WindowConfig{Slack: retrySlack, Window: retryWindow, Reserve: retryReserve}
	n.fleet, n.budgets = f, retry.NewBudgets(cfg, clock.Monotonic().Add(-age))
	granted := 0
	for range 2 * retrySlack {
		a := n.chat(t, chatBody)
		if a.status == 200 {
			granted++
		} else {
			is.New(t).True(a.isRefusal(problem.RetryBudgetExhausted, problem.NotRun))
		}
	}
	return granted
}

// Guards against retries of a whole fleet that exceed its budget when nodes are restarted: each process began
// with a full burst, however many others there were.
func TestStartedNodeHasNoRetrySlack(t *testing.T) {
	is := is.New(t)
	is.Equal(retriesGranted(t, fakeFleet(1), 0), 0)
	is.Equal(retriesGranted(t, fakeFleet(0), retryWindow), 0) // cut off from the fleet
	is.Equal(retriesGranted(t, fakeFleet(4), retryWindow), 4)
}
