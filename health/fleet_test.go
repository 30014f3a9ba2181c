package health

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// observations holds what each node has counted of each target within the window.
type observations [][]Counts

// sums returns what the nodes report in total: for each target the counts of the nodes that
// saw it fail, and for the service the counts of all nodes.
func (s observations) sums(targets int) (each []Counts, service Counts) {
	each = make([]Counts, targets)
	for _, node := range s {
		for i, c := range node {
			service = service.Plus(c)
			if c.Failed > 0 {
				each[i] = each[i].Plus(c)
			}
		}
	}
	return each, service
}

// simulate sends requests from random nodes to random targets, which fail at the given rates.
func simulate(rng *rand.Rand, nodes, requests int, rates []float64) observations {
	out := make(observations, nodes)
	for n := range out {
		out[n] = make([]Counts, len(rates))
	}
	for range requests {
		at := rng.IntN(len(rates))
		c := &out[rng.IntN(nodes)][at]
		if rng.Float64() < rates[at] {
			c.Failed++
		} else {
			c.Answered++
		}
	}
	return out
}

// suspended returns in how many of the given number of windows each target is suspended.
func suspended(windows, nodes, requests int, rates []float64) []int {
	rng, cfg, now := rand.New(rand.NewPCG(1, 2)), DefaultConfig(), time.Unix(1000, 0)
	out := make([]int, len(rates))
	for range windows {
		each, service := simulate(rng, nodes, requests, rates).sums(len(rates))
		Attribute(each, len(each), service)
		for i, c := range each {
			if (&State{}).Evaluate(cfg, c, service, now) {
				out[i]++
			}
		}
	}
	return out
}

func total(v []int) int {
	n := 0
	for _, x := range v {
		n += x
	}
	return n
}

// Of a service whose every twentieth request fails for reasons of its own, observed by 73
// nodes, each of which sends a target one request in two windows, no target is suspended.
func TestRandomFailuresSeenByManyNodesSuspendNone(t *testing.T) {
	rates := []float64{0.05, 0.05, 0.05, 0.05, 0.05, 0.05}
	is.New(t).True(total(suspended(1000, 73, 570, rates)) <= 3)
}

// One target that fails two in five requests is suspended under the same conditions.
func TestFailingTargetIsSuspendedByManyNodes(t *testing.T) {
	rates := []float64{0.05, 0.05, 0.4, 0.05, 0.05, 0.05}
	got := suspended(200, 73, 570, rates)
	is.New(t).True(got[2] >= 198)
	is.New(t).True(total(got)-got[2] <= 3)
}

// With few nodes or large shares there are no answers left to attribute.
func TestAttribute(t *testing.T) {
	is := is.New(t)
	each := []Counts{{Answered: 10}, {Answered: 4, Failed: 2}}
	Attribute(each, len(each), Counts{Answered: 14, Failed: 2})
	is.Equal(each, []Counts{{Answered: 10}, {Answered: 4, Failed: 2}})
	Attribute(each, len(each), Counts{Answered: 24, Failed: 2})
	is.Equal(each, []Counts{{Answered: 15}, {Answered: 9, Failed: 2}})
	Attribute(each, len(each), Counts{}) // reports of different moments
	is.Equal(each[0].Answered, 15)
	Attribute(nil, 0, Counts{Answered: 3})
}
