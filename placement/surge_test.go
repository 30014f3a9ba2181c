package placement

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// maxOverShare is the share of the requests in any five seconds that may reach a target over
// the bound of twice the mean + 3.
const maxOverShare = 0.03

// surge is a chat service. Seven of its 90 engines leave, all in one of four failure domains.
// Then one workspace, which has a fifth of the keys, sends 7.5 times its usual number of short
// and medium requests, and three quarters of the slots are taken. Slots, speeds, keys and
// their sizes are from the description of such a service, rates and durations from node logs
// of a day with such a surge. In those logs the targets of the domain that lost engines ran
// 20 requests and the others 10, and the standard deviation of a target's load from the node's
// figure was 4.1. Here it is 5.4 with copies in their holders' domain, the rule used on that
// day.
func surge(nodes int) world {
	const peakFactor = 1.05 // the peak of the load wave during the surge
	return world{
		nodes: nodes, targets: 90, slots: 16, domains: 4,
		surgeShare: 0.2, burst: 3, popularity: 0.3, speeds: []float64{1, 1, 1.3}, slowing: 0.015, waiting: 0.2,
		leavers: 7, leaveAt: 3000, warm: 5500, ticks: 11000,
		kinds: []kind{
			{perTick: peakFactor * 0.19, work: 1400, spread: 0.44, priority: 1, keys: 356, tokens: 10400, surge: 1},
			{perTick: peakFactor * 0.187, work: 1000, spread: 0.69, priority: 0, keys: 227, tokens: 700, surge: 7.5},
			{perTick: peakFactor * 0.397, work: 89, spread: 1, priority: 2, keys: 475, tokens: 2050, surge: 7.5},
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

// withRule returns the world with another rule for keys that spill over.
func (w world) withRule(rule spillRule) world {
	w.spill = rule
	return w
}

// total adds up results; worst is that of the worst seed, exceeded the number of seeds over
// the bound.
func total(t *testing.T, name string, all []result) (sum result, exceeded int) {
	t.Helper()
	for _, r := range all {
		sum.asked, sum.over = sum.asked+r.asked, sum.over+r.over
		sum.copies, sum.moved, sum.again = sum.copies+r.copies, sum.moved+r.moved, sum.again+r.again
		sum.mean, sum.countError = sum.mean+r.mean/float64(len(all)), sum.countError+r.countError/float64(len(all))
		sum.worst = max(sum.worst, r.worst)
		if r.worst > maxOverShare {
			exceeded++
		}
	}
	t.Logf("%s: over %.4f, worst five seconds %.4f, over the bound with %d of %d seeds; mean %.1f, count error %.1f; "+
		"copies %d, 1,000 tokens moved %d, read again %d", name, sum.overShare(), sum.worst, exceeded, len(all), sum.mean,
		sum.countError, sum.copies, sum.moved/1000, sum.again/1000)
	return sum, exceeded
}

// oldCounts66 is the age of counts in a full mesh of 66 nodes that report to each other 60
// times a second. The rules are compared with it, since it makes the bound harder to keep than
// the younger counts that nodes have in production.
const oldCounts66 = 1100 * time.Millisecond

// withCountAge returns the world with counts of the given age.
func (w world) withCountAge(age time.Duration) world {
	w.interval = age
	return w
}

// packageRule66 returns results of the package's rule at 66 nodes with old counts.
var packageRule66 = sync.OnceValue(func() []result { return surge(66).withCountAge(oldCounts66).seeds(6) })

// packageRule300 returns results of the package's rule at 300 nodes.
var packageRule300 = sync.OnceValue(func() []result { return surge(300).seeds(2) })

// A surge of one workspace makes some of its keys spill over. The load stays within the bound
// both with the counts of the heartbeat exchange, which are up to 0.8 s old with 300 nodes, and
// with older ones.
func TestSurgeOfAWorkspaceStaysWithinTheBound(t *testing.T) {
	t.Parallel()
	for name, all := range map[string][]result{
		"7 nodes": surge(7).seeds(3), "66 nodes": surge(66).seeds(3), "300 nodes": packageRule300(),
		"66 nodes, 1.1 s": packageRule66(),
	} {
		if _, exceeded := total(t, name, all); exceeded > 0 {
			t.Errorf("%s: over the bound with %d seeds", name, exceeded)
		}
	}
}

const holdersDomain = "holders' domain"

// spillRules are alternatives to the package's rule for the target of a key whose holders are
// full. All but the last select the key's highest-ranked target.
var spillRules = map[string]spillRule{
	// in a failure domain of its holders, however busy
	holdersDomain: func(s Service, available []*Candidate, req Request, _ *rand.Rand) *Candidate {
		if inDomains := inHoldersDomains(s, available, req); len(inDomains) > 0 {
			return bestRanked(inDomains, req, preferLocal)
		}
		return bestRanked(available, req, rankOnly)
	},
	// in the node's failure domain
	"nearest domain": func(_ Service, available []*Candidate, req Request, _ *rand.Rand) *Candidate {
		return bestRanked(available, req, preferLocal)
	},
	// any, so that the nodes select different ones
	"by node": func(_ Service, available []*Candidate, _ Request, rng *rand.Rand) *Candidate {
		return available[rng.IntN(len(available))]
	},
}

func inHoldersDomains(s Service, available []*Candidate, req Request) []*Candidate {
	domains := make(map[string]bool)
	for i := range s.all {
		c := &s.all[i]
		domains[c.FailureDomain] = domains[c.FailureDomain] || req.cachedBy(c)
	}
	var out []*Candidate
	for _, c := range available {
		if domains[c.FailureDomain] {
			out = append(out, c)
		}
	}
	return out
}

// In the same surges, the package's rule lets less than half as many requests exceed the bound
// as a rule that keeps copies in their holders' failure domain, and its cost of transfers and
// repeated prefill is no higher than that of any alternative.
func TestSpillRules(t *testing.T) {
	t.Parallel()
	for name, rule := range spillRules {
		seeds := 2
		if name == holdersDomain {
			seeds = len(packageRule66())
		}
		current, _ := total(t, "package rule", packageRule66()[:seeds])
		r, exceeded := total(t, name, surge(66).withCountAge(oldCounts66).withRule(rule).seeds(seeds))
		if promptCost(current) > promptCost(r) {
			t.Errorf("%s: prompts cost %.0f, with the package rule %.0f", name, promptCost(r), promptCost(current))
		}
		if name == holdersDomain && (exceeded == 0 || 2*current.over > r.over) {
			t.Errorf("%s: %d over with %d seeds over the bound, %d with the package rule", name, r.over, exceeded, current.over)
		}
	}
}

// promptCost is the cost of transfers and repeated prefill, in requests of the medium kind:
// 0.09 and 0.56 for 1,000 tokens.
func promptCost(r result) float64 { return (0.09*float64(r.moved) + 0.56*float64(r.again)) / 1000 }

// The older the counts, the more requests exceed the bound. With counts 5 s old, as in a full
// mesh of 300 nodes, the bound isn't kept. With the counts that 300 nodes have in production, a
// tenth as many requests exceed it, and fewer than with copies in their holders' domain.
func TestOldCountsLetRequestsOverTheBound(t *testing.T) {
	t.Parallel()
	const seeds = 2
	a, _ := total(t, "66 nodes, 0.2 s", surge(66).withCountAge(200*time.Millisecond).seeds(seeds))
	b, _ := total(t, "66 nodes, 1.1 s", packageRule66()[:seeds])
	c, _ := total(t, "66 nodes, 5 s", surge(66).withCountAge(5*time.Second).seeds(seeds))
	if a.over >= b.over || b.over >= c.over {
		t.Errorf("over: %d, %d, %d; more with older counts was expected", a.over, b.over, c.over)
	}
	large, _ := total(t, "300 nodes", packageRule300())
	r, _ := total(t, "300 nodes, "+holdersDomain, surge(300).withRule(spillRules[holdersDomain]).seeds(seeds))
	old, _ := total(t, "300 nodes, 5 s", surge(300).withCountAge(5*time.Second).seeds(seeds))
	if large.over >= r.over {
		t.Errorf("300 nodes: %d over, %d with copies in their holders' domain", large.over, r.over)
	}
	if 5*large.over >= old.over {
		t.Errorf("300 nodes: %d over, %d with counts 5 s old", large.over, old.over)
	}
}
