package placement

import (
	"sync"
	"testing"
	"time"

	"github.com/knapweedgw/knapweedgw/heartbeat"
)

// mostOver is the part of the requests of any five seconds that may reach a
// target over the bound of twice the mean + 3.
const mostOver = 0.03

// surge is a service of chats. Seven of its 90 engines leave, all of one of four
// failure domains; then one workspace, which has a fifth of the keys, sends 7.5 times
// its usual short and middling requests, and three quarters of the slots are taken.
// Slots, speeds, keys and their sizes are by the description of such a service, rates
// and durations by the nodes' logs of such a day. In those logs the targets of the
// domain that lost engines ran 20 requests and the others 10, and a target's load was
// 4.1 off what the node believed, as a deviation; here it is 5.4.
func surge(nodes int) world {
	const crest = 1.05 // of a wave, while the surge lasts
	return world{
		nodes: nodes, targets: 90, slots: 16, domains: 4, interval: heartbeat.DefaultConfig().IntervalFor(nodes),
		hot: 0.2, clump: 3, popularity: 0.3, speeds: []float64{1, 1, 1.3}, slowing: 0.015, waiting: 0.2,
		leavers: 7, leaveAt: 3000, warm: 5500, ticks: 11000,
		kinds: []kind{
			{perTick: crest * 0.19, work: 1400, spread: 0.44, priority: 1, keys: 356, tokens: 10400, surge: 1},
			{perTick: crest * 0.187, work: 1000, spread: 0.69, priority: 0, keys: 227, tokens: 700, surge: 7.5},
			{perTick: crest * 0.397, work: 89, spread: 1, priority: 2, keys: 475, tokens: 2050, surge: 7.5},
		},
	}
}

// seeds runs the seeds 1 to n.
func (w world) seeds(n int) []result {
	all := make([]result, n)
	var wg sync.WaitGroup
	for i := range all {
		wg.Go(func() { all[i] = w.run(uint64(i + 1)) })
	}
	wg.Wait()
	return all
}

// total sums up results; worst is that of the worst seed, broken the number of
// seeds over the bound.
func total(t *testing.T, name string, all []result) (sum result, broken int) {
	t.Helper()
	for _, r := range all {
		sum.asked, sum.over = sum.asked+r.asked, sum.over+r.over
		sum.copies, sum.moved, sum.again = sum.copies+r.copies, sum.moved+r.moved, sum.again+r.again
		sum.mean, sum.drift = sum.mean+r.mean/float64(len(all)), sum.drift+r.drift/float64(len(all))
		sum.worst = max(sum.worst, r.worst)
		if r.worst > mostOver {
			broken++
		}
	}
	t.Logf("%s: over %.4f, worst five seconds %.4f, over the bound with %d of %d seeds; mean %.1f, drift %.1f; "+
		"copies %d, 1,000 tokens moved %d, read again %d", name, sum.part(), sum.worst, broken, len(all), sum.mean,
		sum.drift, sum.copies, sum.moved/1000, sum.again/1000)
	return sum, broken
}

// ofToday are results of the package's rule at 66 nodes.
var ofToday = sync.OnceValue(func() []result { return surge(66).seeds(6) })

// The older the counts, the more requests get over the bound.
func TestOldCountsLetRequestsOverTheBound(t *testing.T) {
	t.Parallel()
	const seeds = 2
	young, old := surge(66), surge(66)
	young.interval, old.interval = 200*time.Millisecond, 5*time.Second
	a, _ := total(t, "66 nodes, 0.2 s", young.seeds(seeds))
	b, _ := total(t, "66 nodes, 1.1 s", ofToday()[:seeds])
	c, _ := total(t, "66 nodes, 5 s", old.seeds(seeds))
	if a.over >= b.over || b.over >= c.over {
		t.Errorf("over: %d, %d, %d; more with older counts was expected", a.over, b.over, c.over)
	}
}
