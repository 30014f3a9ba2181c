package heartbeat

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// Guards against a fleet-wide limit that is exceeded since each node which lost the others took it whole.
func TestNodeThatIsCutOffUsesNoPartOfALimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	e := NewExchange(DefaultConfig(), "10.0.0.1:1", nil, log.New(io.Discard), prometheus.NewRegistry())
	update := func() {
		e.machine.view.Expire(now)
		e.updateLiveness(now)
		e.updateShares(now)
	}
	sequence := uint64(0)
	hear := func(nodes ...string) {
		sequence++
		for _, node := range nodes {
			e.machine.view.Receive(Report{Node: node, Sequence: sequence}, now)
		}
		update()
	}
	is.Equal(e.LimitShares(), 0) // nothing is known yet

	e.machine.view.AddNodes(now, "10.0.0.2:1")
	update()
	is.Equal(e.LimitShares(), 0) // a seed that hasn't been heard

	hear("10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1")
	is.Equal(e.LimitShares(), 4)

	now = now.Add(10 * time.Second)
	update()
	is.Equal(e.LimitShares(), 0) // cut off from all

	hear("10.0.0.2:1")
	is.Equal(e.LimitShares(), 0) // two of four may be the smaller part of a fleet
	hear("10.0.0.2:1", "10.0.0.3:1")
	is.Equal(e.LimitShares(), 4)

	now = now.Add(2 * time.Minute)
	update()
	is.Equal(e.LimitShares(), 4) // the others were lost, and its part is that of before
	now = now.Add(fleetMemory)
	update()
	now = now.Add(fleetMemory)
	update()
	is.Equal(e.LimitShares(), 1)
}

// A node without any others uses the whole limit.
func TestSingleNodeUsesTheWholeLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	e := NewExchange(DefaultConfig(), "10.0.0.1:1", nil, log.New(io.Discard), prometheus.NewRegistry())
	e.machine.view.AddNodes(now, "10.0.0.1:1")
	e.updateLiveness(now)
	e.updateShares(now)
	is.Equal(e.LimitShares(), 1)
}

// Nodes that announced that they leave are no evidence of a cut.
func TestLeavingNodesAreNoCut(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	e := NewExchange(DefaultConfig(), "10.0.0.1:1", nil, log.New(io.Discard), prometheus.NewRegistry())
	e.machine.view.Receive(Report{Node: "10.0.0.2:1", Sequence: 1}, now)
	e.machine.view.Receive(Report{Node: "10.0.0.2:1", Sequence: 2, Leaving: true}, now)
	now = now.Add(10 * time.Second)
	e.updateLiveness(now)
	e.updateShares(now)
	is.Equal(e.LimitShares(), 2)
}
