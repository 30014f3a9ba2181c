package routing

import "math"

// assignFactor bounds the duties of one node: at most assignFactor times the
// mean, rounded up. It leaves room, so that the bound stays the same when one
// node of many goes.
const assignFactor = 1.5

// Assign gives each duty a node by rendezvous with bounded loads and returns
// the index of each duty's node, or nil if there are no nodes. Nodes with the
// same lists in the same order get the same answer.
func Assign(duties, nodes []uint64) []int {
	if len(nodes) == 0 {
		return nil
	}
	keys := make([]uint64, len(nodes))
	for i, n := range nodes {
		keys[i] = Key(n)
	}
	room := make([]int, len(nodes))
	limit := int(math.Ceil(assignFactor * float64(len(duties)) / float64(len(nodes))))
	for i := range room {
		room[i] = limit
	}
	out := make([]int, len(duties))
	for d, duty := range duties {
		out[d] = bestWithRoom(duty, keys, room)
		room[out[d]]--
	}
	return out
}

func bestWithRoom(duty uint64, keys []uint64, room []int) int {
	best, bestRank := -1, uint64(0)
	for i, k := range keys {
		if r := Rank(duty, k); room[i] > 0 && (best < 0 || r > bestRank) {
			best, bestRank = i, r
		}
	}
	return best
}
