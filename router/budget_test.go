package router

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/replica"
	"github.com/knapweedgw/knapweedgw/retry"
)

// Guards against a slack that is used again by each start of a fleet whose nodes are all killed within its first
// seconds: nodes that find no note must see the first one in the store before they use the slack.
func TestOnlyANewFleetUsesTheSlackAtOnce(t *testing.T) {
	type notice struct {
		note  []byte
		state replica.NoteState
	}
	note := []byte{0x82, 0x80, 0x80}
	tests := []struct {
		name    string
		notices []notice
		allowed bool
	}{
		{"nothing read yet", nil, false},
		{"no note yet", []notice{{nil, replica.AtStart}}, false},
		{"new fleet", []notice{{nil, replica.AtStart}, {note, replica.Changed}}, true},
		{"note of an earlier process", []notice{{note, replica.AtStart}, {note, replica.Changed}}, false},
		{"a part of the list only", []notice{{note, replica.Changed}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := clock.Monotonic()
			cfg := retry.WindowConfig{Share: 0.2, Slack: 54, Window: 10 * time.Second}
			r := &Router{
				log: log.New(io.Discard), budgets: retry.NewBudgets(cfg, now),
				newFleetFound: make(chan struct{}),
			}
			for _, n := range tt.notices {
				r.updateNewFleet(n.note, n.state)
			}
			_, d := r.budgets.Window("s").Take(now, 7)
			is.New(t).Equal(d.Allowed, tt.allowed)
		})
	}
}

// Guards against repeats that reach targets uncharged, and against sends that are charged though they are no repeats
// or were charged before.
func TestRepeatsAreChargedAsTheyAreSent(t *testing.T) {
	is := is.New(t)
	now := clock.Monotonic()
	cfg := retry.WindowConfig{Slack: 4, Window: 10 * time.Second}
	r := &Router{
		log: log.New(io.Discard), now: func() time.Time { return now }, fleet: &fakeFleet{},
		budgets: retry.NewBudgets(cfg, now.Add(-cfg.Window)), metrics: newMetrics(prometheus.NewRegistry()),
	}
	x := &exchange{router: r, service: "s", reservation: r.budgets.Window("s").NewReservation()}
	sent := func() float64 {
		return testutil.ToFloat64(r.metrics.budget.WithLabelValues("s", string(retry.BudgetSent)))
	}

	is.True(x.chargeSend()) // the first one
	is.Equal(sent(), 0.0)
	x.arrived = true
	is.True(x.reserveRetry())
	is.True(x.reserveRetry()) // the timer of an overdue attempt
	is.True(x.chargeSend())
	is.True(x.chargeSend()) // another connection of the same attempt
	is.Equal(sent(), 1.0)

	x.charged = false
	is.True(x.chargeSend()) // not reserved, since the attempt before was not sent
	is.Equal(sent(), 2.0)
	x.charged = false
	is.True(!x.reserveRetry()) // two are this node's part
	is.True(!x.chargeSend())
	is.True(x.overBudget)
	is.Equal(sent(), 2.0)
}
