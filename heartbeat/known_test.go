package heartbeat

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// A node that has just started, or has lost contact with the others, still divides a fleet-wide
// limit by the size of the whole fleet.
func TestKnownNodes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	e := NewExchange(DefaultConfig(), "10.0.0.1:1", nil, log.New(io.Discard), prometheus.NewRegistry())
	e.now = func() time.Time { return now }
	e.started = now
	is.Equal(e.KnownNodes(), assumedFleetSize)

	now = now.Add(discoveryTime)
	for _, other := range []string{"10.0.0.2:1", "10.0.0.3:1"} {
		e.machine.view.Receive(Report{Node: other, Sequence: 1}, now)
	}
	is.Equal(e.KnownNodes(), 3)

	now = now.Add(30 * time.Second)
	e.machine.view.Expire(now)
	is.Equal(e.machine.view.LiveNodes(now), 1)
	is.Equal(e.KnownNodes(), 3)
}
