package retries

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAmplificationIsBounded checks that retries add at most the budget's share and
// the fleet's slack to the load, whatever the number of nodes and the share of
// failing targets.
func TestAmplificationIsBounded(t *testing.T) {
	is := is.New(t)
	for _, nodes := range []int{4, 16} {
		for _, failing := range []float64{0.05, 0.25, 1} {
			for _, share := range []float64{0, 0.1, 0.2} {
				row := Simulate(nodes, failing, share, 1)
				bound := 1 + share + slack/(window.Seconds()*ratePerNode*float64(nodes))
				is.True(row.Amplification <= bound)
			}
		}
	}
}

// TestMaxAttemptsBoundsLoadWithoutBudget uses a budget that is never empty, so that
// only the limit of attempts per request bounds the load.
func TestMaxAttemptsBoundsLoadWithoutBudget(t *testing.T) {
	is := is.New(t)
	is.Equal(Simulate(8, 1, unlimitedShare, 1).Amplification, float64(maxAttempts))
}

// TestSuspensionReducesFailures checks that owners detect and suspend failing
// targets, so that fewer requests are sent to them and more succeed. If all
// targets fail, requests are still attempted.
func TestSuspensionReducesFailures(t *testing.T) {
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
