package heartbeat

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/affinity"
)

// Limits for the exchange in fleets of up to 370 nodes.
const (
	maxMedianAge = 500 * time.Millisecond
	maxP99Age    = time.Second // of 99 in 100 counts
	// convergenceTime is the time after which no node counts a dead node any more, and the
	// longest time for which a live one may be missing.
	convergenceTime  = 2500 * time.Millisecond
	confirmationTime = time.Second
	maxMessages      = 100.0    // per second, at the median node
	maxBytes         = 27_000.0 // per second, at the average node
	warmUp           = 4 * time.Second
	usualLoss        = 0.01
	busiestFactor    = 1.5 // group sizes vary
)

// Counts are fresh at every fleet size, and no node is missing or counted twice.
func TestCountsAreFresh(t *testing.T) {
	t.Parallel()
	testCountAge(t, 7, 16, 17, 66)
}

// Counts are fresh in the largest fleets too.
func TestCountsAreFreshInLargeFleets(t *testing.T) {
	t.Parallel()
	testCountAge(t, largeFleet, 370)
}

func testCountAge(t *testing.T, sizes ...int) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			f := newFleet(n, 1)
			f.loss = usualLoss
			f.run(warmUp)
			f.reset()
			var ages []time.Duration
			const d = 3 * time.Second
			missing := 0
			f.sample(d, func(at, of *fleetNode) {
				age, known := f.age(t, at, of)
				if !known {
					missing++
					age = convergenceTime // at least the age at which counts are dropped
				}
				ages = append(ages, age)
			})
			var messages []float64
			bytes := 0.0
			for _, node := range f.nodes {
				messages = append(messages, float64(f.messages[node])/d.Seconds())
				bytes += float64(f.bytes[node]) / d.Seconds() / float64(n)
			}
			slices.Sort(messages)
			median, late := quantile(ages, 0.5), quantile(ages, 0.99)
			t.Logf("%d nodes: age %v at the median, %v at the 99th percentile, %v at most, missing %d of %d; "+
				"messages %.0f a second at the median, %.0f at the busiest; %.0f bytes a second at the average",
				n, median, late, ages[len(ages)-1],
				missing, len(ages), messages[n/2], messages[n-1], bytes)
			is := is.New(t)
			is.True(median <= maxMedianAge)
			is.True(late <= maxP99Age)
			is.True(messages[n/2] < maxMessages)
			is.True(messages[n-1] < busiestFactor*maxMessages)
		})
	}
}

// The largest supported fleet has 370 nodes that send 4,600 requests per second to 5,500
// targets. A request takes 0.56 s on average over long and short answers, so that each node has
// 7 in progress. The use of a prompt part is reported each time it is new.
func TestBytesOfTheLargestFleet(t *testing.T) {
	t.Parallel()
	const (
		nodes, targets, running = 370, 5500, 7
		newUses                 = 0.5 // per second and node
	)
	is, f := is.New(t), newFleet(nodes, 12)
	f.fill = func(_ *fleetNode, r *Report) {
		r.Targets = nil
		for range running {
			r.Targets = append(r.Targets, TargetReport{Target: f.rng.Uint32N(targets) * (1 << 32 / targets), Running: 1})
		}
		if f.rng.Float64() < newUses*DefaultConfig().IntervalFor(nodes).Seconds() {
			r.Uses = []affinity.Use{{Part: f.rng.Uint32(), Target: f.rng.Uint32()}}
		}
	}
	f.run(warmUp)
	f.reset()
	const d = 3 * time.Second
	f.run(d)
	sum := 0
	for _, n := range f.nodes {
		sum += f.bytes[n]
	}
	average := float64(sum) / nodes / d.Seconds()
	t.Logf("%.0f bytes a second at the average node, packet headers included", average)
	is.True(average <= maxBytes)
}
