package capacity

import (
	"context"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/usage"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/membership/membershiptest"
)

// The quantities of membership, for one node.
const (
	MembershipBytes    Quantity = "membership_bytes_out"
	MembershipMessages Quantity = "membership_messages_out"
	MembershipCPU      Quantity = "membership_cpu"
)

// membershipTime is the virtual time of a run.
const membershipTime = time.Minute

// Membership measures the heartbeats of a region by its number of nodes.
type Membership struct{}

// Name implements Probe.
func (Membership) Name() string { return "membership" }

// Measure implements Probe.
func (Membership) Measure(context.Context) ([]Slope, error) {
	slopes := []Slope{
		{Quantity: MembershipBytes, Per: "nodes of the region", Unit: "B/s"},
		{Quantity: MembershipMessages, Per: "nodes of the region", Unit: "1/s"},
		{Quantity: MembershipCPU, Per: "nodes of the region", Unit: "ns/s"},
	}
	for _, n := range []int{8, 20, 53, 106} {
		for i, v := range steadyRegion(n) {
			slopes[i].Points = append(slopes[i].Points, Point{Size: float64(n), Value: v})
		}
	}
	return slopes, nil
}

// steadyRegion returns bytes, messages and CPU nanoseconds a second of one
// node, encoding included.
func steadyRegion(n int) [3]float64 {
	f := membershiptest.New(n, membership.DefaultConfig(), 1)
	f.Run(membershipTime) // the news of the start has spread
	for _, node := range f.Nodes {
		node.Messages = 0
	}
	f.CountBytes = true
	start := usage.CPUTime()
	f.Run(membershipTime)
	cpu := usage.CPUTime() - start
	var bytes, messages int64
	for _, node := range f.Nodes {
		bytes += node.Bytes
		messages += node.Messages
	}
	per := 1 / (float64(n) * membershipTime.Seconds())
	return [3]float64{float64(bytes) * per, float64(messages) * per, float64(cpu.Nanoseconds()) * per}
}
