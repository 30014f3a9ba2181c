package placement

import (
	"math"
	"slices"

	"github.com/knapweedgw/knapweedgw/routing"
)

// spill returns the candidate for a key that no target caches yet, or whose holders (the
// targets that cache all its parts) can't take it. It may reorder available.
func (s Service) spill(available []*Candidate, req Request) *Candidate {
	if slices.ContainsFunc(available, isRanked) {
		available = slices.DeleteFunc(available, isUnranked)
	}
	if inDomains := s.inHolderDomains(available, req); len(inDomains) > 0 {
		return bestRanked(s.belowCopyLimit(inDomains), req, preferLocal)
	}
	if s.isCachedAnywhere(req) {
		available = s.belowCopyLimit(available)
	}
	return bestRanked(available, req, rankOnly)
}

func isRanked(c *Candidate) bool   { return !c.Unranked }
func isUnranked(c *Candidate) bool { return c.Unranked }

// copyLoadFactor times the mean load is the highest load at which a target gets a copy of
// a key's parts. With the load bound alone, copies went to targets that were nearly at the
// bound, and their keys soon had to move again: in the surge of TestSpillRules a fifth more
// cached data was transferred, and half as many requests again exceeded the bound.
const copyLoadFactor = 0.8

// belowCopyLimit returns the candidates that can take a copy and the requests that follow
// it, or all if there is none. It is not used for keys that no target caches yet: these go
// by rank alone, because nodes that go by load select different targets for the same key,
// and each of those has to prefill the parts.
func (s Service) belowCopyLimit(cands []*Candidate) []*Candidate {
	most := copyLoadFactor * meanLoad(s.eligible)
	hasRoom := func(c *Candidate) bool { return float64(c.Running) <= most }
	if !slices.ContainsFunc(cands, hasRoom) {
		return cands
	}
	return slices.DeleteFunc(cands, func(c *Candidate) bool { return !hasRoom(c) })
}

// inHolderDomains returns the candidates in the failure domains of the targets that cache
// all of the request's parts, or none if there are no such targets or their domains are
// busy. A transfer between domains takes twice as long and counts as twice the data
// transferred. The drawback is that a copy serves fewer nodes from their own domain: responses
// took a twentieth more bytes between domains, for a third less data in transfers.
func (s Service) inHolderDomains(available []*Candidate, req Request) []*Candidate {
	if !s.isCachedAnywhere(req) {
		return nil
	}
	domains := make(map[string]bool)
	for i := range s.all {
		if c := &s.all[i]; req.cachedBy(c) {
			domains[c.FailureDomain] = true
		}
	}
	s.deleteBusyDomains(domains, req)
	var out []*Candidate
	for _, c := range available {
		if domains[c.FailureDomain] {
			out = append(out, c)
		}
	}
	return out
}

// busyDeviations is how many standard deviations of a Poisson distribution a failure domain's
// load must be above the service's to count as busy. With 1 and 3 the bound holds as well.
const busyDeviations = 2

// deleteBusyDomains removes failure domains whose load is above the service's by more than
// random variation. Otherwise all copies of hot keys would stay in such a domain while others
// are idle: the load of its targets stays close to the limit, and counts that are a second old
// then let five times as many requests exceed the bound (TestSpillRules). Targets that cache
// the parts are not counted: they are full, since otherwise they would get the request.
func (s Service) deleteBusyDomains(domains map[string]bool, req Request) {
	running, targets := make(map[string]int), make(map[string]int)
	for _, c := range s.eligible {
		if !req.cachedBy(c) {
			running[c.FailureDomain] += c.CountedByNodes
			targets[c.FailureDomain]++
		}
	}
	mean := meanLoad(s.eligible)
	for d, n := range targets {
		usual := mean * float64(n)
		if float64(running[d]) > usual+busyDeviations*math.Sqrt(usual) {
			delete(domains, d)
		}
	}
}

// preference sets whether this node's failure domain takes precedence over the rank.
type preference bool

const (
	preferLocal preference = true
	rankOnly    preference = false
)

// bestRanked returns the highest-ranked candidate for the request's key.
func bestRanked(cands []*Candidate, req Request, p preference) *Candidate {
	at, atRank, atNear := -1, uint64(0), false
	for i, c := range cands {
		near := p == preferLocal && c.FailureDomain == req.FailureDomain
		rank := routing.Rank(req.Key, c.Hash)
		if at < 0 || near && !atNear || near == atNear && rank > atRank {
			at, atRank, atNear = i, rank, near
		}
	}
	return cands[at]
}
