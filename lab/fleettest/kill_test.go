package fleettest

import (
	"testing"

	"github.com/matryer/is"
)

// TestKill kills a node, an engine and the platform stand-in with SIGKILL under load. No caller gets
// an answer of another, no request that must not run twice does, and no refusal states that a
// request didn't run although it did. Once the fault is detected, every request gets a complete
// answer again.
func TestKill(t *testing.T) {
	cases := []struct {
		name        string
		kill        func(t *testing.T, f *fleet)
		notices     string // share of notices, service calls that must not run twice
		firstEngine int    // index of the first engine that still runs after the kill
		noFailures  bool   // no request may fail, even before the fault is detected
	}{
		{"a node", func(t *testing.T, f *fleet) {
			f.nodes[0].kill()
			eventually(t, "the balancer stops using the node", func() bool { return !f.balancer.routesTo(f.nodes[0].url) })
		}, "0.2", 0, false},
		{"an engine", func(t *testing.T, f *fleet) {
			f.engines[0].kill()
			f.removeVM(t, "engine-0")
		}, "0.2", 1, false},
		// Without the platform's store no idempotency key can be claimed, so no notices are sent.
		{"the platform", func(_ *testing.T, f *fleet) { f.platform.kill() }, "0", 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFleet(t, 3, 3)
			reachable := f.engineURLs[tc.firstEngine:]
			generator := f.startLoad(t, 20, reachable, "--notices", tc.notices, "--resend", "0.2", "--under-faults")
			eventually(t, "an engine runs a request", f.anyEngineUsed)
			tc.kill(t, f)
			during := f.awaitLoad(t, generator)
			after := f.awaitLoad(t, f.startLoad(t, 10, reachable, "--seed", "2", "--notices", tc.notices))
			t.Logf("during: %+v, after: %+v", during, after)
			for _, o := range []loadResult{during, after} {
				is.Equal(o.wrong, 0)
				is.Equal(o.doubled, 0)
				is.Equal(o.falseNotRun, 0)
			}
			is.Equal(after.whole, after.requests)
			if tc.noFailures {
				is.Equal(during.whole, during.requests)
			}
		})
	}
}
