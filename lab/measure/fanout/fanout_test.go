package fanout

import (
	"testing"

	"github.com/matryer/is"
)

// TestEveryStrategyReachesEveryNode checks for each strategy, with and without an outage
// of the store, that every change reaches every node and that no VM serves a revision
// below one that its slot served before.
func TestEveryStrategyReachesEveryNode(t *testing.T) {
	for _, w := range strategies {
		for _, outage := range []bool{false, true} {
			is := is.New(t)
			r := measureStrategy(sizes[0], 3, outage, w.make)
			is.True(r.changes > 0)
			is.Equal(r.open, 0)
			is.Equal(r.reverted, 0)
		}
	}
}

func TestSameSeedGivesSameResult(t *testing.T) {
	is := is.New(t)
	is.Equal(measureStrategy(sizes[0], 5, false, newRelays), measureStrategy(sizes[0], 5, false, newRelays))
}
