package fleettest

import (
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestDrainCutShort checks that a second SIGTERM and the drain deadline each end a graceful stop
// while a request is in progress that would take minutes: the node exits with code 1 and logs the
// reason and a remedy.
func TestDrainCutShort(t *testing.T) {
	cases := []struct {
		name string
		args []string
		then func(t *testing.T, n *nodeProcess)
	}{
		{"by a second signal", nil, func(t *testing.T, n *nodeProcess) {
			eventually(t, "the node is not ready", func() bool { return !answersOK(n.url + "/readyz") })
			is.New(t).True(!n.exited())
			n.signal(syscall.SIGTERM)
		}},
		{"by the deadline", []string{"--drain-deadline", "300ms"}, func(*testing.T, *nodeProcess) {}},
	}
	f := startFleet(t, 0, 1)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			n := f.startNode(t, "node-"+strings.ReplaceAll(tc.name, " ", "-"), tc.args...)
			f.addToBalancer(t, n)
			before := engineRequests(f.engineURLs[0])
			_ = f.startLoad(t, 1, f.engineURLs, "--max-tokens", "100000")
			eventually(t, "the request runs", func() bool { return engineRequests(f.engineURLs[0]) > before })
			n.signal(syscall.SIGTERM)
			tc.then(t, n)
			is.Equal(n.exitCode(t), 1)
			is.True(strings.Contains(n.out.String(), "stopped before every request in progress had ended"))
			is.True(strings.Contains(n.out.String(), "remedy:"))
		})
	}
}
