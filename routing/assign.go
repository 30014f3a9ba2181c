package routing

import "math"

// assignFactor bounds the number of duties of one node to assignFactor times the mean, rounded
// up. It leaves headroom, so that the bound stays the same when one node of many is gone.
const assignFactor = 1.5

// Assign gives each duty, a task that one node does for the fleet, a node by rendezvous hashing
// with bounded loads. It returns the index of each duty's node, or nil if there are no nodes. It
// is deterministic: nodes with the same lists in the same order get the same result.
func Assign(duties, nodes []uint64) []int {
	if len(nodes) == 0 {
		return nil
	}
	keys := make([]uint64, len(nodes))
	for i, n := range nodes {
		keys[i] = Key(n)
	}
	remaining := make([]int, len(nodes))
	limit := int(math.Ceil(assignFactor * float64(len(duties)) / float64(len(nodes))))
	for i := range remaining {
		remaining[i] = limit
	}
	out := make([]int, len(duties))
	for d, duty := range duties {
		out[d] = bestBelowLimit(duty, keys, remaining)
		remaining[out[d]]--
	}
	return out
}

func bestBelowLimit(duty uint64, keys []uint64, remaining []int) int {
	best, bestRank := -1, uint64(0)
	for i, k := range keys {
		if r := Rank(duty, k); remaining[i] > 0 && (best < 0 || r > bestRank) {
			best, bestRank = i, r
		}
	}
	return best
}
