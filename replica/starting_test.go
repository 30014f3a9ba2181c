package replica

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// large includes the tests of a fleet of 295 nodes for more than a second.
var large = flag.Bool("large", false, "simulate large fleets for longer")

// silentUntil is a store that answers no call begun before the given time.
func silentUntil(d time.Duration) func(*startFleet) {
	return func(f *startFleet) {
		f.answers = func(_ int, at time.Duration) bool { return at >= d }
	}
}

// After a stop of all nodes while the store was silent, nodes waited for the timeout of calls
// that the store never answered, and were without a configuration for 0.5 to 0.9 s after it
// answered again. Half of the nodes must have it 0.2 s after that, all 0.4 s, also if their clocks
// deviate.
func TestNodesStartWhenStoreAnswersAgain(t *testing.T) {
	for _, n := range []int{7, 31, 64, 295} {
		for _, silent := range []time.Duration{500 * time.Millisecond, 1400 * time.Millisecond, 5 * time.Second} {
			if n > 64 && silent > time.Second && !*large {
				continue
			}
			t.Run(fmt.Sprint(n, " nodes, silent for ", silent), func(t *testing.T) {
				for seed, skew := range []time.Duration{0, 0, 200 * time.Millisecond, 200 * time.Millisecond} {
					if seed > 0 && n > 64 && !*large {
						return
					}
					f := runFleet(t, n, silent+time.Second, uint64(seed), func(f *startFleet) {
						silentUntil(silent)(f)
						f.skew = skew
					})
					f.checkStart(t, silent)
				}
			})
		}
	}
}

// checkStart checks when half of the nodes and all of them had a configuration and targets, from the
// end of the silence on.
func (f *startFleet) checkStart(t *testing.T, silent time.Duration) {
	t.Helper()
	half, all := f.readyAfter(t, silent)
	t.Logf("from the end of the silence: first answer %v, half of the nodes ready %v, all %v", f.answered-silent, half, all)
	if half > 200*time.Millisecond || all > 400*time.Millisecond {
		t.Error("too late")
	}
}

// Each read is billed, and the store allows 6,000 a second. During an outage of 20 s all nodes
// together must begin at most 60 a second on average and 100 in any second, after the first
// second, in which nodes don't know each other yet. The longest time without any read bounds how
// long nobody notices that the store answers.
func TestReadsDuringLongOutageStayWithinBudget(t *testing.T) {
	for _, n := range []int{1, 7, 64, 295} {
		t.Run(fmt.Sprint(n, " nodes"), func(t *testing.T) {
			outage := 20 * time.Second
			if n > 64 && !*large {
				outage = 2 * time.Second
			}
			f := runFleet(t, n, outage, 1, silentUntil(time.Hour))
			most, gap := 0, time.Duration(0)
			for i, at := range f.calls {
				if at >= time.Second {
					most = max(most, f.callsWithin(at, at+time.Second))
					gap = max(gap, at-f.calls[i-1])
				}
			}
			rate := float64(f.callsWithin(time.Second, outage)) / (outage - time.Second).Seconds()
			t.Logf("%d reads in the first second, then %.1f a second, %d in any second at most; longest time without %v",
				f.callsWithin(0, time.Second), rate, most, gap)
			if rate > 60 || most > 100 {
				t.Error("too many")
			}
		})
	}
}
