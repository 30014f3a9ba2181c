// Package placement selects the target of a request in three pure steps over the
// candidates passed by the caller: filter, score, pick.
//
// It covers follow-up requests of a chat whose shared prompt parts are cached at a
// target, hot keys (bounded load: the key spreads to further targets in its rank order),
// targets that fail or shut down (filters that are skipped when they would leave no
// candidate), and small services (least loaded first).
//
// A shared prompt part is a section at the start of a prompt that other requests have
// too. A target that caches a part needs no prefill for it.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/roster"
)

// Candidate is a target and this node's view of its state and load.
type Candidate struct {
	*roster.Target
	// Running is the number of requests in progress at the target from all nodes: the
	// higher of CountedByNodes, the sum of the nodes' counts, and the load that the target itself
	// reports, which may be a second old.
	Running, CountedByNodes int
	// Suspended targets get requests only when most of their service is suspended.
	Suspended bool
	// Unreachable targets are those to which the last connection attempt failed. They get
	// requests only when no other target is left.
	Unreachable bool
	// Excluded targets were already tried for this request.
	Excluded bool
	// Leaving targets have announced in a response to this node that they shut down.
	Leaving bool
	// CoolingDown targets have sent this node a Retry-After that has not yet expired.
	CoolingDown bool
	// AtQuota targets announce a rejection limit and get no more of this node's requests now.
	AtQuota bool
	// Provisional targets run a version that has just appeared, at which the request shouldn't begin. They
	// get it only when no other target is left.
	Provisional bool
	// OutsideRegion targets are in a region that the request may not be sent to.
	OutsideRegion bool
	// Cold targets started recently and can take few requests. A cold target gets the
	// request only if MaySend, this node's share of its capacity, allows it. If no other
	// target is left, it also gets the request if ColdCapacity, the number of further
	// requests a second it can take, is over 0.
	Cold, MaySend bool
	ColdCapacity  int
	// Own is the part of Running that this node sent.
	Own int
	// These apply if only a subset of a large service is passed. SelectedByRequest candidates
	// were selected because of the request, so they are left out of estimates for the whole
	// service. Unranked ones are not among the first in the rank order of the request's key,
	// which is the same on all nodes.
	SelectedByRequest, Unranked bool
	// CachedTokens is the number of the request's shared prompt tokens that the target probably
	// caches. Prefilled reports that the prefill of these tokens must have finished by now.
	CachedTokens int
	Prefilled    bool
}

// Ineligible reports whether the target may not get the request even if no other target is left.
func (c *Candidate) Ineligible() bool {
	return c.Draining || c.Leaving || c.Excluded || c.Evacuated || c.OutsideRegion
}

// Request holds the properties of a request that placement depends on.
type Request struct {
	// Key is the hash of the prompt's last shared part, 0 if it has none.
	Key uint64
	// Shared is the total number of tokens in all shared parts.
	Shared int
	// FailureDomain is this node's failure domain, which is preferred between equal targets.
	FailureDomain string
	// QueueFactor is the number of requests that may queue at a target, as a fraction of its slots.
	QueueFactor float64
}

// full reports whether the given slots are taken and the queue for them is full, so that
// another request could not start in time.
func (r Request) full(running, slots int) bool {
	return slots > 0 && float64(running) >= float64(slots)*(1+r.QueueFactor)
}

// cachedBy reports whether a target probably caches all of the request's shared parts.
func (r Request) cachedBy(c *Candidate) bool { return r.Shared > 0 && c.CachedTokens >= r.Shared }

// Policy sets the load bound.
type Policy struct {
	// LoadFactor and LoadSlack: a key is not sent to a target that has more than
	// LoadFactor times the mean + LoadSlack requests in progress.
	LoadFactor float64
	LoadSlack  float64
	// OldCounts reports that the counts are older than the duration of a request without a
	// prompt.
	OldCounts bool
	// MaxSuspended is the largest share of a pool that may be suspended. Beyond it,
	// suspensions are ignored, since a fault at this node is more likely.
	MaxSuspended float64
}

// The load bound for fresh counts, and how much its factor decreases for each second of
// the counts' age, down to a minimum. The decrease leaves headroom below twice the mean + 3
// for the requests that other nodes have sent since their last counts.
const (
	freshFactor         = 1.9
	factorLossPerSecond = 0.5
	minFactor           = 1.4
	defaultSlack        = 2
	maxSuspendedShare   = 0.6
	smallFleetCountAge  = 200 * time.Millisecond
	// staleCountAge is several times the duration of requests to plain services. All nodes
	// of a fleet have the same counts, so above this age all of them would send to the same
	// least loaded targets until the next counts arrive.
	staleCountAge = 300 * time.Millisecond
)

// PolicyFor returns the policy for other nodes' counts that are up to age old.
func PolicyFor(age time.Duration) Policy {
	excess := max(age-smallFleetCountAge, 0)
	return Policy{
		LoadFactor:   max(freshFactor-factorLossPerSecond*excess.Seconds(), minFactor),
		LoadSlack:    defaultSlack,
		MaxSuspended: maxSuspendedShare,
		OldCounts:    age > staleCountAge,
	}
}

// DefaultPolicy returns the policy for a small fleet.
func DefaultPolicy() Policy { return PolicyFor(smallFleetCountAge) }

// Choice is the selected target.
type Choice struct {
	Target *roster.Target
	// FetchFrom is a target that probably caches shared parts which Target lacks; nil if
	// there is none.
	FetchFrom *roster.Target
	// Limit is the load bound that applied, Running the load at Target and CachedTokens the
	// number of shared tokens that Target probably caches.
	Limit, Running, CachedTokens int
	// Fetched is the number of tokens that Target probably fetches from FetchFrom.
	Fetched int
	// Reason is why the request was or was not sent to a target that caches its parts.
	Reason Reason
}

// Reason is the effect of a request's shared parts on the choice of its target.
type Reason string

// The values of Reason.
const (
	// NoParts: the request has no shared parts.
	NoParts Reason = "no_parts"
	// Cached: the selected target caches all parts.
	Cached Reason = "keeps"
	// FirstUse: no target is recorded as caching all parts.
	FirstUse Reason = "first_use"
	// OverBound: the targets that cache all parts are over the load bound or full.
	OverBound Reason = "over_bound"
	// HolderUnavailable: the targets that cache all parts are not eligible: they are shutting
	// down, suspended, unreachable or were already tried.
	HolderUnavailable Reason = "keeper_gone"
)

// reason returns why chosen was selected for a request with shared parts.
func (s Service) reason(req Request, chosen *Candidate) Reason {
	switch {
	case req.cachedBy(chosen):
		return Cached
	case slices.ContainsFunc(s.eligible, req.cachedBy):
		return OverBound
	case s.isCachedAnywhere(req):
		return HolderUnavailable
	}
	return FirstUse
}

// isCachedAnywhere reports whether any candidate, eligible or not, caches all parts.
func (s Service) isCachedAnywhere(req Request) bool {
	for i := range s.all {
		if req.cachedBy(&s.all[i]) {
			return true
		}
	}
	return false
}

// Service holds the candidates of one service.
type Service struct {
	policy Policy
	all    []Candidate
	// eligible are the candidates that may currently get requests of any kind.
	eligible []*Candidate
	// sendable are the eligible candidates without the cold ones for which this node's
	// share is used up.
	sendable []*Candidate
	// loadBasis are the candidates whose mean load the load bound is computed from.
	loadBasis []*Candidate
}

// NewService determines which candidates of a service may get requests. The candidates must
// not change while the Service is in use.
func NewService(cands []Candidate, p Policy) Service {
	eligible := filter(cands, p)
	return Service{policy: p, all: cands, eligible: eligible, sendable: sendable(eligible), loadBasis: loadBasis(cands, eligible)}
}

// loadBasis returns the eligible candidates, those in evacuated failure domains, those with a pending
// Retry-After and those of which this node's quota is used up. The bound is a multiple of the mean over a service's targets,
// and these still belong to it. If they were left out, the bound would grow with each target
// that gets no requests.
func loadBasis(all []Candidate, eligible []*Candidate) []*Candidate {
	out := eligible
	for i := range all {
		c := &all[i]
		if (c.Evacuated || c.CoolingDown || c.AtQuota) && !c.Draining && !c.Leaving {
			out = append(out[:len(out):len(out)], c)
		}
	}
	return out
}

// Eligible returns the candidates that may currently get requests. The caller must not
// modify them.
func (s Service) Eligible() []*Candidate { return s.eligible }

// All returns all candidates. The caller must not modify them.
func (s Service) All() []Candidate { return s.all }

// Pick selects a target. ok is false if no candidate may get the request.
func (s Service) Pick(req Request, rng *rand.Rand) (c Choice, ok bool) {
	if len(s.eligible) == 0 {
		return Choice{}, false
	}
	limit := loadLimit(s.loadBasis, s.policy)
	var chosen *Candidate
	switch {
	case len(s.sendable) == 0:
		if chosen, ok = pickCold(s.eligible, rng); !ok {
			return Choice{}, false
		}
	case req.Key == 0:
		chosen = pickUnkeyed(s.sendable, req, s.policy, rng)
	default:
		chosen = s.pickKeyed(req, limit, rng)
	}
	if req.Key == 0 {
		return Choice{Target: chosen.Target, Limit: limit, Running: chosen.Running, Reason: NoParts}, true
	}
	choice := Choice{
		Target: chosen.Target, Limit: limit, Running: chosen.Running, CachedTokens: chosen.CachedTokens,
		Reason: s.reason(req, chosen),
	}
	if from, ok := fetchSource(s.all, chosen); ok {
		choice.FetchFrom, choice.Fetched = from.Target, from.CachedTokens-chosen.CachedTokens
	}
	return choice, true
}

// loadLimit uses only the nodes' counts. While the load falls, the loads that the targets
// report are outdated and too high, and so would be the mean and the limit.
func loadLimit(cands []*Candidate, p Policy) int {
	return int(p.LoadFactor*meanLoad(cands) + p.LoadSlack)
}

// meanLoad returns the mean number of requests in progress at the candidates, from the
// nodes' counts.
func meanLoad(cands []*Candidate) float64 {
	total, sampled := 0, 0
	for _, c := range cands {
		if !c.SelectedByRequest {
			total += c.CountedByNodes
			sampled++
		}
	}
	return float64(total) / float64(max(sampled, 1))
}

// pickKeyed returns a candidate that is under the limit and not full: one that caches
// all shared parts if there is one, else any. If every candidate is over the limit or
// full, it returns the least loaded.
func (s Service) pickKeyed(req Request, limit int, rng *rand.Rand) *Candidate {
	allFull := allFull(s.sendable, req)
	hasRoom := func(c *Candidate) bool {
		return c.Running <= limit && (allFull || !req.full(c.Running, c.Slots))
	}
	var holders []*Candidate
	for _, c := range s.sendable {
		if req.cachedBy(c) && hasRoom(c) {
			holders = append(holders, c)
		}
	}
	if len(holders) > 0 {
		return pickByHeadroom(holders, req, limit, rng)
	}
	available := make([]*Candidate, 0, len(s.sendable))
	for _, c := range s.sendable {
		if hasRoom(c) {
			available = append(available, c)
		}
	}
	if len(available) == 0 {
		return leastLoaded(s.sendable, req, rng)
	}
	return s.spill(available, req)
}

// allFull reports whether the slots and queues of all candidates together are full. In
// that case free slots don't distinguish the candidates, and only the load bound spreads
// requests.
func allFull(cands []*Candidate, req Request) bool {
	running, slots := 0, 0
	for _, c := range cands {
		if !c.SelectedByRequest {
			running += c.Running
			slots += c.Slots
		}
	}
	return req.full(running, slots)
}

// localWeight is how many times more likely a copy in this node's failure domain is
// selected than another copy with the same headroom, since traffic between failure domains
// is charged for.
const localWeight = 3

// pickByHeadroom returns one of the candidates, at random in proportion to their headroom
// under the limit. Counts are only as recent as the nodes' reports: if all nodes sent a hot
// key to the same copy until it appears full and then to the same next one, each copy in
// turn would exceed the bound.
func pickByHeadroom(cands []*Candidate, req Request, limit int, rng *rand.Rand) *Candidate {
	total := 0
	for _, c := range cands {
		total += headroomWeight(c, req, limit)
	}
	at := rng.IntN(total)
	for _, c := range cands {
		if at -= headroomWeight(c, req, limit); at < 0 {
			return c
		}
	}
	return cands[len(cands)-1]
}

// headroomOffset times the limit is added to each candidate's headroom. If the headroom
// alone is the weight, outdated counts make the load of the copies oscillate between
// empty and full.
const headroomOffset = 2

// headroomWeight returns the selection weight of a candidate under the limit, at least 1.
func headroomWeight(c *Candidate, req Request, limit int) int {
	free := limit + 1 - c.Running + headroomOffset*limit
	if c.FailureDomain == req.FailureDomain {
		return localWeight * free
	}
	return free
}

// pickUnkeyed returns the least loaded candidate. If the counts are older than the duration
// of a request, it returns one at random in proportion to the headroom in its slots, since
// the least loaded one would get all requests of all nodes until the next reports.
func pickUnkeyed(cands []*Candidate, req Request, p Policy, rng *rand.Rand) *Candidate {
	if !p.OldCounts {
		return leastLoaded(cands, req, rng)
	}
	most := 0
	for _, c := range cands {
		most = max(most, c.Slots, c.Running)
	}
	return pickByHeadroom(cands, req, most, rng)
}

// minFetch is the minimum number of tokens for which a transfer between targets is used.
// Setting up a transfer takes a few milliseconds, in which engines prefill about as many
// tokens.
const minFetch = 64

// fetchSource returns the target that caches the most of the parts which the chosen one
// lacks; ok is false if none caches enough of them. Draining targets are included, since
// they still serve transfers.
func fetchSource(cands []Candidate, chosen *Candidate) (from *Candidate, ok bool) {
	most := -1
	for i := range cands {
		c := &cands[i]
		if c.Suspended || c.CoolingDown || c.OutsideRegion || !c.Prefilled || c.Target == chosen.Target {
			continue
		}
		if most < 0 || c.CachedTokens > cands[most].CachedTokens {
			most = i
		}
	}
	if most < 0 || cands[most].CachedTokens < chosen.CachedTokens+minFetch {
		return nil, false
	}
	return &cands[most], true
}

// leastLoaded returns a candidate with the fewest requests in progress per slot. Ties are
// broken in favor of this node's failure domain, then at random.
func leastLoaded(cands []*Candidate, req Request, rng *rand.Rand) *Candidate {
	best, ties := 0, 1
	for i := 1; i < len(cands); i++ {
		switch d := compareLoad(cands[i], cands[best], req); {
		case d < 0:
			best, ties = i, 1
		case d == 0:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return cands[best]
}

// compareLoad orders candidates by requests in progress per slot. A target of another
// failure domain counts as having remoteBias more, since traffic between failure domains is
// charged for and the difference in waiting time is negligible at low load.
func compareLoad(a, b *Candidate, req Request) int {
	return biasedLoad(a, req)*max(b.Slots, 1) - biasedLoad(b, req)*max(a.Slots, 1)
}

const remoteBias = 1

func biasedLoad(c *Candidate, req Request) int {
	if c.FailureDomain == req.FailureDomain {
		return c.Running
	}
	return c.Running + remoteBias
}
