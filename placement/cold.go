package placement

import (
	"math/rand/v2"
	"slices"
)

// sendable returns the candidates without the cold ones that this node may not send to now.
func sendable(eligible []*Candidate) []*Candidate {
	closed := func(c *Candidate) bool { return c.Cold && !c.MaySend }
	if !slices.ContainsFunc(eligible, closed) {
		return eligible
	}
	return slices.DeleteFunc(slices.Clone(eligible), closed)
}

// pickCold returns one of the cold targets at random, in proportion to the requests they can
// still take. It applies when all targets of a service are cold, where a selection by key
// would make all nodes choose the same target. ok is false if none can take another request.
func pickCold(cold []*Candidate, rng *rand.Rand) (c *Candidate, ok bool) {
	total := 0
	for _, c := range cold {
		total += c.ColdCapacity
	}
	if total == 0 {
		return nil, false
	}
	at := rng.IntN(total)
	for _, c := range cold {
		if at -= c.ColdCapacity; at < 0 {
			return c, true
		}
	}
	return nil, false
}
