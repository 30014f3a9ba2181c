package fleettest

import (
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestStopEndedEarly ends a stop by each means that the operator has, while a
// request is in progress that would take minutes.
func TestStopEndedEarly(t *testing.T) {
	cases := []struct {
		name string
		args []string
		then func(t *testing.T, n *gateway)
	}{
		{"by a second signal", nil, func(t *testing.T, n *gateway) {
			eventually(t, "not ready", func() bool { return !answersOK(n.url + "/readyz") })
			is.New(t).True(!n.ended())
			n.signal(syscall.SIGTERM)
		}},
		{"by the deadline", []string{"--drain-deadline", "300ms"}, func(*testing.T, *gateway) {}},
	}
	f := startFleet(t, 0, 1)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			n := f.startNode(t, "node-"+strings.ReplaceAll(tc.name, " ", "-"), tc.args...)
			f.await(t, n)
			before := requests(f.engineURLs[0])
			_ = f.load(t, 1, f.engineURLs, "--max-tokens", "100000")
			eventually(t, "the request runs", func() bool { return requests(f.engineURLs[0]) > before })
			n.signal(syscall.SIGTERM)
			tc.then(t, n)
			is.Equal(n.exitCode(t), 1)
			is.True(strings.Contains(n.out.String(), "stopped before every request in progress had ended"))
			is.True(strings.Contains(n.out.String(), "remedy:"))
		})
	}
}
