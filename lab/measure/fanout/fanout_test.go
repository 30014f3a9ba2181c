package fanout

import (
	"testing"

	"github.com/matryer/is"
)

func TestEveryWayReachesEveryNode(t *testing.T) {
	for _, w := range ways {
		for _, outage := range []bool{false, true} {
			is := is.New(t)
			r := measureWay(sizes[0], 3, outage, w.make)
			is.True(r.changes > 0)
			is.Equal(r.open, 0)
			is.Equal(r.reverted, 0)
		}
	}
}

func TestSameSeedSameFigures(t *testing.T) {
	is := is.New(t)
	is.Equal(measureWay(sizes[0], 5, false, newRelays), measureWay(sizes[0], 5, false, newRelays))
}
