package capacity

import (
	"context"
	"encoding/binary"

	"github.com/knapweedgw/knapweedgw/claims/core"
)

// The quantities of a claims owner.
const (
	ClaimMemory Quantity = "claim_memory"
	ClaimCPU    Quantity = "claim_record_cpu"
)

// Claims measures the table of a shard.
type Claims struct{}

// Name implements Probe.
func (Claims) Name() string { return "claims" }

// Measure implements Probe.
func (Claims) Measure(context.Context) ([]Slope, error) {
	sizes := []int{5_000, 10_000, 20_000, 40_000}
	memory, err := sweep(ClaimMemory, "claims kept", "B", sizes, func(n int) (float64, error) {
		return heapOf(func() *core.Table { return claimed(n) }), nil
	})
	if err != nil {
		return nil, err
	}
	cpu, err := sweep(ClaimCPU, "claims kept", "ns", sizes, func(n int) (float64, error) {
		t := claimed(n)
		i := n
		return perOp(cpuSample, func() {
			t.Apply(0, claim(i%n))
			i++
		}), nil
	})
	return []Slope{memory, cpu}, err
}

func claimed(n int) *core.Table {
	t := core.NewTable()
	for i := range n {
		t.Apply(0, claim(i))
	}
	return t
}

func claim(i int) core.Record {
	r := core.Record{Kind: core.KindClaim, Attempt: core.AttemptID(i), Holder: core.Holder{Node: "node-1", Incarnation: 1}}
	binary.BigEndian.PutUint64(r.Key[:], uint64(i)*0x9e3779b97f4a7c15)
	return r
}
