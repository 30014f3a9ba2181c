package fleettest

import (
	"testing"

	"github.com/matryer/is"
)

// TestKill ends a process of each role at once, by SIGKILL, while callers send
// chats. Nobody gets another's answer, nothing runs twice that may not, and
// nobody is told wrongly that nothing was run. Once the fault is noticed,
// every request is answered whole again.
func TestKill(t *testing.T) {
	cases := []struct {
		name    string
		kill    func(t *testing.T, f *fleet)
		notices string // share of service calls that may not be repeated
		engines int    // the first of those that can still be asked
		whole   bool   // no request may fail, even while the fault is new
	}{
		{"a node", func(t *testing.T, f *fleet) {
			f.nodes[0].kill()
			eventually(t, "the balancer notices", func() bool { return !f.balancer.uses(f.nodes[0].url) })
		}, "0.2", 0, false},
		{"an engine", func(t *testing.T, f *fleet) {
			f.engines[0].kill()
			f.removeVM(t, "engine-0")
		}, "0.2", 1, false},
		// Without the platform nothing can be claimed, so no notice is sent.
		{"the platform", func(_ *testing.T, f *fleet) { f.platform.kill() }, "0", 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFleet(t, 3, 3)
			left := f.engineURLs[tc.engines:]
			callers := f.load(t, 20, left, "--notices", tc.notices, "--resend", "0.2", "--under-faults")
			eventually(t, "engines work", f.busy)
			tc.kill(t, f)
			during := f.outcome(t, callers)
			after := f.outcome(t, f.load(t, 10, left, "--seed", "2", "--notices", tc.notices))
			t.Logf("during: %+v, after: %+v", during, after)
			for _, o := range []outcome{during, after} {
				is.Equal(o.wrong, 0)
				is.Equal(o.doubled, 0)
				is.Equal(o.falseNotRun, 0)
			}
			is.Equal(after.whole, after.requests)
			if tc.whole {
				is.Equal(during.whole, during.requests)
			}
		})
	}
}
