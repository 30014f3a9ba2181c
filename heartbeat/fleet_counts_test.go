package heartbeat

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/affinity"
)

// The aims for the news between nodes, at any size of the fleet up to 370 nodes.
const (
	medianAge = 500 * time.Millisecond
	lateAge   = time.Second // 99 in 100 are younger
	// goneWithin is when nobody counts a dead node any more, and the longest that a
	// live one may be left out.
	goneWithin    = 2500 * time.Millisecond
	confirmedIn   = time.Second
	mostMessages  = 100.0    // a second, at an ordinary node
	mostBytes     = 27_000.0 // a second, at the average node
	warmUp        = 4 * time.Second
	usualLoss     = 0.01
	busiestFactor = 1.5 // a group's size varies
)

// Counts are young at every size, and nobody is left out or counted twice.
func TestCountsAreYoung(t *testing.T) {
	t.Parallel()
	countsAreYoung(t, 7, 16, 17, 66)
}

// The same in the largest fleets.
func TestCountsAreYoungInLargeFleets(t *testing.T) {
	t.Parallel()
	countsAreYoung(t, largeFleet, 370)
}

func countsAreYoung(t *testing.T, sizes ...int) {
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
					age = goneWithin // older than what is counted may be
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
			t.Logf("%d nodes: age %v at the median, %v at the 99th centile, %v at most, left out %d of %d; "+
				"messages %.0f a second at the median, %.0f at the busiest; %.0f bytes a second at the average",
				n, median, late, ages[len(ages)-1],
				missing, len(ages), messages[n/2], messages[n-1], bytes)
			is := is.New(t)
			is.True(median <= medianAge)
			is.True(late <= lateAge)
			is.True(messages[n/2] < mostMessages)
			is.True(messages[n-1] < busiestFactor*mostMessages)
		})
	}
}

// The largest fleet of the aim: 370 nodes send 4,600 requests a second to 5,500
// targets. A request lasts 0.56 s on average where long and short answers mix, so that
// each node has 7 in progress; a prompt part's use is told each time that it is new.
func TestBytesOfTheLargestFleet(t *testing.T) {
	t.Parallel()
	const (
		nodes, targets, running = 370, 5500, 7
		newUses                 = 0.5 // a second and node
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
	is.True(average <= mostBytes)
}
