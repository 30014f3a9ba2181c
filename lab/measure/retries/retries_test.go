package retries

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// However many targets fail, and however many nodes there are, the fleet's
// load grows by the share, the floor and the saved burst at most.
func TestAmplificationIsBounded(t *testing.T) {
	is := is.New(t)
	for _, nodes := range []int{4, 16} {
		for _, failing := range []float64{0.05, 0.25, 1} {
			for _, share := range []float64{0, 0.1, 0.2} {
				row := Simulate(nodes, failing, share, 1)
				bound := 1 + share + floor/ratePerNode + burst/(ratePerNode*seconds*0.9)
				is.True(row.Amplification <= bound)
			}
		}
	}
}

// A budget that is never empty lets the cap on attempts alone bound a storm.
func TestWithoutBudgetTheCapBounds(t *testing.T) {
	is := is.New(t)
	is.Equal(Simulate(8, 1, 3, 1).Amplification, float64(maxAttempts))
}

// A failing share of the targets is found by the owner: fewer requests meet it
// and more are answered. If all fail, requests are still tried.
func TestSuspensionHelps(t *testing.T) {
	is := is.New(t)
	c := Case{Nodes: 4, Pools: 1, Engines: 60, Failing: 0.25, Share: 0.2}
	before := SimulateCells(c, time.Minute, 1)
	c.Suspend = true
	after := SimulateCells(c, time.Minute, 1)
	is.True(after.Answered > before.Answered)
	is.True(after.FirstFailed < before.FirstFailed/2)
	is.True(after.Amplification < before.Amplification)
	c.Failing = 1
	all := SimulateCells(c, time.Minute, 1)
	is.True(all.Amplification >= 1)
	is.Equal(all.Answered, 0.0)
}
