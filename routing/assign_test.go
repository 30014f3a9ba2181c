package routing

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestAssignIsBoundedAndComplete(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		duties := rapid.SliceOfN(rapid.Uint64(), 0, 60).Draw(rt, "duties")
		nodes := rapid.SliceOfNDistinct(rapid.Uint64(), 1, 20, rapid.ID).Draw(rt, "nodes")
		is := is.New(rt)
		count := make([]int, len(nodes))
		got := Assign(duties, nodes)
		is.Equal(len(got), len(duties))
		for _, n := range got {
			count[n]++
		}
		limit := int(math.Ceil(assignFactor * float64(len(duties)) / float64(len(nodes))))
		is.True(slices.Max(count) <= limit)
	})
}

func TestAssignNoNodes(t *testing.T) {
	is.New(t).Equal(Assign([]uint64{1, 2}, nil), nil)
}

// When one node of a region is removed, its duties move and few others.
func TestAssignMovesLittle(t *testing.T) {
	for _, tt := range []struct{ duties, nodes int }{{53, 53}, {212, 53}, {4, 8}, {16, 8}} {
		t.Run(fmt.Sprint(tt.duties, "on", tt.nodes), func(t *testing.T) {
			duties, nodes := names("duty", tt.duties), names("node", tt.nodes)
			before := Assign(duties, nodes)
			moved := 0
			for gone := range nodes {
				left := slices.Delete(slices.Clone(nodes), gone, gone+1)
				for d, n := range Assign(duties, left) {
					if before[d] != gone && nodes[before[d]] != left[n] {
						moved++
					}
				}
			}
			// Over all removals, each duty is on the removed node once.
			is.New(t).True(moved <= 2*tt.duties)
		})
	}
}

func names(kind string, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = Hash(fmt.Sprint(kind, "-", i))
	}
	return out
}
