// Package orders measures on virtual time what the issuers of orders to engines
// cost: calls to the store and to engines, CPU time and memory, and the duration
// of a roll-out and of a take-over by the standby. It also measures the size of
// the calls to an engine over TCP.
package orders

import (
	"context"
	"fmt"

	"github.com/knapweedgw/knapweedgw/lab/measure"
)

const name = "orders"

// size is one measured fleet: pools of equal size, each with an issuer and a
// standby.
type size struct{ pools, engines int }

// sizes are the measured fleets; the last one has seven regions with four models
// each, one pool per region and model.
var sizes = []size{{1, 18}, {7, 53}, {28, 196}}

// Section is the measurement "orders".
type Section struct{}

// Name implements measure.Section.
func (Section) Name() string { return name }

// Run implements measure.Section.
func (Section) Run(ctx context.Context, r *measure.Reporter, _ uint64) (string, error) {
	var last row
	for _, sz := range sizes {
		f := newFleet(sz)
		last = f.measure(ctx)
		if err := r.Add(name, last); err != nil {
			return "", err
		}
	}
	wire, err := measureWire(ctx)
	if err != nil {
		return "", err
	}
	if err := r.Add(name, wire); err != nil {
		return "", err
	}
	return fmt.Sprintf("orders: pools=%d engines=%d store_reads=%.3g/s store_writes=%.3g/s lease_calls=%.3g/s roll_out=%.0fs",
		last.pools, last.engines, last.storeReads, last.storeWrites, last.leaseCalls, last.rollOut), nil
}

// row is the cost of the issuers of a fleet. Rates are totals of all issuers and
// standbys.
type row struct {
	pools, engines                      int
	storeReads, storeWrites, leaseCalls float64 // per second, without changes
	engineReads                         float64 // per second, without changes
	writesRolling                       float64 // per second, during a roll-out
	cpuMicros                           float64 // per second, of one issuer and its standby, without changes
	heapKB                              float64 // of one issuer and its standby
	rollOut                             float64 // seconds
	takeover                            float64 // seconds from the issuer's death to the standby's first order
}

// Fields implements measure.Row.
func (r row) Fields() []measure.Field {
	return []measure.Field{
		{Name: "pools", Value: r.pools},
		{Name: "engines_a_pool", Value: r.engines},
		{Name: "store_reads_s", Value: r.storeReads},
		{Name: "store_writes_s", Value: r.storeWrites},
		{Name: "lease_calls_s", Value: r.leaseCalls},
		{Name: "engine_reads_s", Value: r.engineReads},
		{Name: "writes_rolling_s", Value: r.writesRolling},
		{Name: "cpu_us_a_pool_s", Value: r.cpuMicros},
		{Name: "heap_kb_a_pool", Value: r.heapKB},
		{Name: "roll_out_s", Value: r.rollOut},
		{Name: "takeover_s", Value: r.takeover},
	}
}
