package router

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// startRule is a pair of rules for requests to nodes without a configuration.
type startRule struct {
	name  string
	wait  func(without, remaining time.Duration) time.Duration
	retry func(without, remaining time.Duration, random float64) time.Duration
}

func shortWait(_, _ time.Duration) time.Duration { return configWait }

func longWait(_, remaining time.Duration) time.Duration { return startWait(remaining, false) }

// startRules are the rule before this one, the alternatives, and the rule that was kept.
var startRules = []startRule{
	{"fixed 0.3 s", shortWait, func(_, _ time.Duration, _ float64) time.Duration { return 300 * time.Millisecond }},
	{"as long as so far", shortWait, func(without, remaining time.Duration, random float64) time.Duration {
		return time.Duration(min(float64(remaining)/3, float64(without)) * (1 - random/4))
	}},
	{"third of remaining", shortWait, func(_, remaining time.Duration, random float64) time.Duration {
		return time.Duration(float64(remaining) / 3 * (1 - random/4))
	}},
	{"grows to a third", shortWait, startRetryAfter},
	{"wait, fixed 0.3 s", longWait, func(_, _ time.Duration, _ float64) time.Duration { return 300 * time.Millisecond }},
	{"wait, grows (kept)", longWait, startRetryAfter},
}

// startKinds are kinds of callers: how long they wait, within what time the answer has its full
// value, and how long a target takes.
var startKinds = []struct{ deadline, target, work time.Duration }{
	{time.Second, 120 * time.Millisecond, 15 * time.Millisecond},
	{1500 * time.Millisecond, 300 * time.Millisecond, 60 * time.Millisecond},
	{2500 * time.Millisecond, 250 * time.Millisecond, 100 * time.Millisecond},
	{8 * time.Second, 800 * time.Millisecond, 300 * time.Millisecond},
	{10 * time.Second, 1200 * time.Millisecond, 400 * time.Millisecond},
}

// startOutcome is the result of a model run, in seconds of a caller rate.
type startOutcome struct{ lost, late, worth float64 }

// simulateStart models nodes that start at 0 and have a configuration 30 to 130 ms after the end of
// the outage, as in the model of replica. Callers of each kind arrive at a constant rate until
// 2 s after the outage and retry once. Targets serve capacity times that rate in order of arrival.
func simulateStart(rule startRule, outage time.Duration, capacity float64) startOutcome {
	const step = 2 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 1))
	var out startOutcome
	share := step.Seconds() / float64(len(startKinds))
	total := 0.0
	for _, kind := range startKinds {
		type request struct{ begun, admitted time.Duration }
		var admitted []request
		for begun := time.Duration(0); begun < outage+2*time.Second; begun += step {
			total += share
			at, served := begun, false
			for range 2 {
				ready := outage + 30*time.Millisecond + time.Duration(rng.Int64N(int64(100*time.Millisecond)))
				remaining := kind.deadline - (at - begun)
				wait := rule.wait(at, remaining)
				if served = ready <= at+wait; served {
					at = max(at, ready)
					break
				}
				at += wait
				at += rule.retry(at, remaining-wait, rng.Float64())
			}
			if served {
				admitted = append(admitted, request{begun, at})
			} else {
				out.lost += share
			}
		}
		slices.SortFunc(admitted, func(a, b request) int { return int(a.admitted - b.admitted) })
		free := time.Duration(0)
		for _, r := range admitted {
			starts := max(free, r.admitted)
			switch took := starts + kind.work - r.begun; {
			case took > kind.deadline:
				out.lost += share
				continue
			case took > kind.target:
				out.late += share
				out.worth += 0.3 * share
			default:
				out.worth += share
			}
			free = starts + time.Duration(float64(step)/capacity)
		}
	}
	out.worth /= total
	return out
}

// Callers were refused twice during the start of all nodes: with a fixed Retry-After of 0.3 s the
// retry met the same refusal. The rule that was kept must lose at most a third of these callers
// in an outage of 2 s, and must not lose more than the fixed one in any other.
func TestCallersLostDuringStart(t *testing.T) {
	for _, capacity := range []float64{1.6, 2.5, 100} {
		for _, outage := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 20 * time.Second} {
			t.Logf("outage %v, capacity %v times the rate: callers lost and late (in seconds of all callers), worth", outage, capacity)
			for _, rule := range startRules {
				got := simulateStart(rule, outage, capacity)
				t.Logf("  %-20s %6.3f %6.3f %6.3f", rule.name, got.lost, got.late, got.worth)
			}
			before, kept := simulateStart(startRules[0], outage, capacity), simulateStart(startRules[len(startRules)-1], outage, capacity)
			if kept.lost > before.lost || outage == 2*time.Second && capacity > 2 && kept.lost > before.lost/3 {
				t.Errorf("outage %v: %.3f lost, %.3f before", outage, kept.lost, before.lost)
			}
		}
	}
}
