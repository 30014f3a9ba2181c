package orders_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/orders"
)

// runWithFaults runs generated steps with faults: pauses of either node in any call,
// store outages, lost responses, restarts of engines, and new settings that the
// nodes read at different times.
func (sim *simulation) runWithFaults(fencing orders.Fencing) {
	version := int64(1)
	for range rapid.IntRange(10, 60).Draw(sim.t, "steps") {
		switch rapid.IntRange(0, 19).Draw(sim.t, "step") {
		case 0:
			version++
			sim.setVersion(version, fencing)
		case 1:
			sim.restart(rapid.IntRange(0, len(sim.engines)-1).Draw(sim.t, "restart"))
		case 2:
			sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(sim.t, "idle")) * time.Millisecond)
		default:
			sim.now = sim.now.Add(time.Second)
			sim.nodes[rapid.IntRange(0, 1).Draw(sim.t, "node")].run()
		}
		if n := sim.loading(); n > sim.limits.MaxLoading+sim.allowedExcess(fencing) {
			sim.t.Fatalf("%d engines load at a time", n)
		}
	}
}

// allowedExcess returns how many loads above the limit are allowed: those of orders
// that arrived after a new issuer had read the engine's state.
func (sim *simulation) allowedExcess(fencing orders.Fencing) int {
	if fencing == orders.FencingChecked {
		return sim.lateOrders
	}
	return sim.longPauses
}

const (
	// longPause is longer than the lease and the order timeout together.
	longPause = 40 * time.Second
	// convergeTimeout bounds the time in which the engines converge without faults:
	// expiry of the lease, the wait for earlier orders, backoffs up to the longest,
	// and the loads.
	convergeTimeout = 8 * time.Minute
)

// TestPausedIssuer guards against a paused issuer that resumes after its lease has
// expired and whose orders then undo those of the new issuer. It runs two issuers
// with generated faults and checks the orders that the engines applied.
func TestPausedIssuer(t *testing.T) {
	tests := []struct {
		name            string
		fencing         orders.Fencing
		pauseAfterGuard time.Duration // longest pause between the guard and the order taking effect
	}{
		{"checked, any pause", orders.FencingChecked, longPause},
		{"ignored, orders arrive within the wait", orders.FencingIgnored, 5 * time.Second},
		{"ignored, any pause", orders.FencingIgnored, longPause},
	}
	for _, tt := range tests {
		t.Run(tt.name, rapid.MakeCheck(func(t *rapid.T) {
			sim := newSimulation(t, tt.fencing, tt.pauseAfterGuard)
			sim.runWithFaults(tt.fencing)
			fences, versions := sim.stale()
			if fences > sim.longPauses || versions > sim.longPauses {
				t.Fatalf("%d stale orders and %d older versions applied after %d pauses longer than the wait of a new issuer", fences, versions, sim.longPauses)
			}
			if tt.fencing == orders.FencingChecked && fences+versions > 0 {
				t.Fatalf("%d stale orders and %d older versions applied", fences, versions)
			}
			sim.runWithoutFaults(convergeTimeout)
			if !sim.converged() {
				t.Fatalf("not converged: %+v", sim.engines[0].State())
			}
		}))
	}
}
