package placement

import "slices"

// filter returns the candidates that may get requests. Targets that are draining, shutting
// down, in a cooldown or at this node's quota, were already tried, or are in an evacuated failure domain
// or a disallowed region are always removed. Each other filter is skipped if it would leave no
// candidate: first the one for suspended targets, then the one for provisional targets, then the one
// for unreachable targets, then the one for fallback targets. Suspensions are inferred from failures, so they are also
// ignored when they would remove most of a service. Unreachable targets are removed however
// many there are, since requests to them can't succeed.
func filter(cands []Candidate, p Policy) []*Candidate {
	serving := make([]*Candidate, 0, len(cands))
	var fallback []*Candidate
	suspended := 0
	for i := range cands {
		c := &cands[i]
		switch {
		case c.Ineligible() || c.CoolingDown || c.AtQuota:
		case c.Fallback:
			fallback = append(fallback, c)
		default:
			serving = append(serving, c)
			if c.Suspended {
				suspended++
			}
		}
	}
	if len(serving) == 0 {
		serving, suspended = fallback, 0
	}
	serving, suspended = reachable(serving, suspended)
	serving, suspended = settled(serving, suspended)
	if suspended == 0 || float64(suspended) > p.MaxSuspended*float64(len(serving)) {
		return serving
	}
	healthy := serving[:0]
	for _, c := range serving {
		if !c.Suspended {
			healthy = append(healthy, c)
		}
	}
	return healthy
}

// reachable returns the reachable candidates, or all if none is reachable, and the number
// of suspended ones among them. It reorders serving.
func reachable(serving []*Candidate, suspended int) ([]*Candidate, int) {
	return without(serving, suspended, func(c *Candidate) bool { return c.Unreachable })
}

// settled is reachable for the candidates that aren't provisional.
func settled(serving []*Candidate, suspended int) ([]*Candidate, int) {
	return without(serving, suspended, func(c *Candidate) bool { return c.Provisional })
}

// without returns the candidates for which not is false, or all if there is none, and the number of
// suspended ones among them. It reorders serving.
func without(serving []*Candidate, suspended int, not func(*Candidate) bool) ([]*Candidate, int) {
	if !slices.ContainsFunc(serving, func(c *Candidate) bool { return !not(c) }) {
		return serving, suspended
	}
	out := slices.DeleteFunc(serving, not)
	left := 0
	for _, c := range out {
		if c.Suspended {
			left++
		}
	}
	return out, left
}
