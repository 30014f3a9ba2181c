package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/knapweedgw/knapweedgw/routing"
)

const cpuSample = 100 * time.Millisecond

// RankCPU is the CPU time to rank a pool's targets for a chat.
const RankCPU Quantity = "rank_cpu"

// rankDepth is how many of the best targets an entry node wants.
const rankDepth = 12

// Ranking measures routing.Top over pools of engines.
type Ranking struct{}

// Name implements Probe.
func (Ranking) Name() string { return "ranking" }

// Measure implements Probe.
func (Ranking) Measure(context.Context) ([]Slope, error) {
	s, err := sweep(RankCPU, "engines", "ns", []int{18, 196, 786, 5500}, func(n int) (float64, error) {
		hashes := make([]uint64, n)
		for i := range hashes {
			hashes[i] = routing.Hash(fmt.Sprintf("engine-%d", i))
		}
		dst := make([]int, 0, rankDepth)
		chat := uint64(0)
		return perOp(cpuSample, func() {
			chat++
			dst = routing.Top(dst[:0], chat, hashes, rankDepth)
		}), nil
	})
	return []Slope{s}, err
}
