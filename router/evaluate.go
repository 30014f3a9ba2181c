package router

import (
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/affinity"
	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/overload"
	"github.com/knapweedgw/knapweedgw/placement"
)

// scratch holds buffers that decisions reuse, one at a time.
type scratch struct {
	hashes     []uint64
	sums       []heartbeat.Sum
	counts     []health.Counts
	candidates []placement.Candidate
}

// resized returns a slice of n elements that reuses the memory of s if it is large enough.
func resized[T any](s []T, n int) []T { return slices.Grow(s[:0], n)[:n] }

// evaluation is the input of a decision: a service with the current state of some or all of its
// targets.
type evaluation struct {
	placement.Service
	members *serviceMembers
	// evaluated is the number of members evaluated, sampled the number of those that were picked
	// independently of the request.
	evaluated, sampled int
}

// isComplete reports whether all members were evaluated.
func (o evaluation) isComplete() bool { return o.members == nil || o.evaluated == len(o.members.list) }

// noneEligible reports whether none of the evaluated targets may get requests.
func (o evaluation) noneEligible() bool { return len(o.Eligible()) == 0 }

// evaluate returns the evaluation for a request, of all targets or of some in a large service.
// It is valid until the next evaluation. The caller must hold p.mu.
func (p *pool) evaluate(crit criteria, now time.Time) evaluation {
	s := p.services[crit.service]
	if s == nil || len(s.list) <= p.fullScanLimit {
		return p.evaluateAll(crit, now)
	}
	kept := p.parts.Cached(crit.parts, now)
	p.candidates.begin()
	for _, m := range s.sample(sampleSize, p.rng) {
		p.candidates.add(m, false, true)
	}
	if key := crit.key(); key != 0 {
		s.eachInBuckets(key, func(m *member) { p.candidates.add(m, true, false) })
	}
	for run := range kept {
		if m, ok := p.byRun[run]; ok && m.service == s {
			p.candidates.add(m, true, true)
		}
	}
	if m, ok := p.members[crit.only]; ok && m.service == s {
		p.candidates.add(m, true, true)
	}
	o := p.newEvaluation(s, crit, kept, now)
	if o.noneEligible() {
		return p.evaluateAll(crit, now)
	}
	return o
}

// evaluateAll returns the evaluation of all targets of the request's service. The caller must
// hold p.mu.
func (p *pool) evaluateAll(crit criteria, now time.Time) evaluation {
	s := p.services[crit.service]
	p.candidates.begin()
	if s != nil {
		for _, m := range s.list {
			p.candidates.add(m, false, false)
		}
	}
	return p.newEvaluation(s, crit, p.parts.Cached(crit.parts, now), now)
}

func (p *pool) newEvaluation(s *serviceMembers, crit criteria, kept map[uint32]affinity.Holding, now time.Time) evaluation {
	sums := p.updateSuspensions(s, crit.service, now)
	limit := p.warmUpOf(crit.service)
	_, limited := p.rejectionLimit(crit.service, now)
	limited = limited && !crit.granted
	o := evaluation{members: s, evaluated: len(p.candidates.members)}
	cands := resized(p.scratch.candidates, len(p.candidates.members))
	p.scratch.candidates = cands
	for i, m := range p.candidates.members {
		holding := kept[uint32(m.target.RunHash())]
		counted := m.running + sums[i].Running
		cands[i] = placement.Candidate{
			Target:            m.target,
			Running:           max(counted, m.reportedLoad(now)),
			CountedByNodes:    counted,
			Own:               m.running,
			SelectedByRequest: m.biased,
			Unranked:          m.unranked,
			Suspended:         m.state.Suspended(now) || m.suspendedByReports(sums[i], now),
			Unreachable:       m.state.Unreachable(),
			Excluded:          crit.excludes(m.target),
			Leaving:           m.notices.Leaving(),
			CoolingDown:       m.notices.InCooldown(now),
			Provisional:       slices.Contains(crit.avoided, originOf(m.target)),
			OutsideRegion:     !crit.regions.Allow(p.regionOf[m.target.FailureDomain]),
			AtQuota:           limited && !m.share.Allow(m.running, p.quotaOf(m.member, now), now),
			CachedTokens:      holding.Tokens,
			Prefilled:         holding.Prefilled,
		}
		if !m.biased {
			o.sampled++
		}
		p.warmUp(&cands[i], m.member, limit, now)
	}
	o.Service = placement.NewService(cands, placement.PolicyFor(p.fleet.CountAge()))
	return o
}

// updateSuspensions suspends the evaluated targets whose failures are significantly above those
// of their service, and starts the trials that are due. It skips targets that asked for a
// pause, since their refusals would keep them suspended for longer than the pause. It returns
// what the other nodes report about each target.
func (p *pool) updateSuspensions(s *serviceMembers, service string, now time.Time) []heartbeat.Sum {
	members := p.candidates.members
	n := len(members)
	if n == 0 {
		return nil
	}
	sums, hashes := resized(p.scratch.sums, n+1), resized(p.scratch.hashes, n+1)
	p.scratch.sums, p.scratch.hashes = sums, hashes
	for i, m := range members {
		hashes[i] = m.target.RunHash()
	}
	hashes[n] = serviceHash(service)
	p.fleet.Targets(hashes, func(i int, s heartbeat.Sum) { sums[i] = s })
	all := resized(p.scratch.counts, n)
	p.scratch.counts = all
	for i, m := range members {
		all[i] = m.state.Counts(p.healthConfig, now).Plus(sums[i].Counts)
	}
	total := sums[n].Counts.Plus(p.ownCounts(s, now))
	health.Attribute(all, len(s.list), total)
	for i, m := range members {
		if m.notices.InCooldown(now) {
			continue
		}
		if m.state.Evaluate(p.healthConfig, all[i], total, now) {
			p.log.Warn("target suspended", "target", m.target.ID, "answered", all[i].Answered,
				"failed", all[i].Failed, "service_answered", total.Answered, "service_failed", total.Failed)
		}
	}
	p.startTrials(s, now)
	return sums
}

// ownCounts returns this node's own outcome counts for a service.
func (p *pool) ownCounts(s *serviceMembers, now time.Time) health.Counts {
	var sum health.Counts
	for m := range s.reportable {
		sum = sum.Plus(m.state.Counts(p.healthConfig, now))
	}
	return sum
}

// startTrials starts the trials that are due of targets that this node could not reach.
func (p *pool) startTrials(s *serviceMembers, now time.Time) {
	for m := range s.reportable {
		if !m.state.Unreachable() || m.notices.InCooldown(now) || m.target.Evacuated || m.notices.Leaving() {
			continue
		}
		if m.state.TrialDue(now) && p.paths.TakeProbe(partitionProbeInterval) && m.state.Trial(now) {
			go p.trial(m, m.target.Addr)
		}
	}
}

// load returns the load of the eligible targets. If only a sample was evaluated, it is
// extrapolated to the complete service.
func (o evaluation) load(nodes int, age time.Duration) overload.Load {
	l := overload.Load{Nodes: nodes, Age: age}
	for _, c := range o.Eligible() {
		if c.SelectedByRequest {
			continue
		}
		l.Running += c.Running
		l.Own += c.Own
		l.Slots += c.Slots
		l.Targets++
	}
	if o.isComplete() {
		return l
	}
	all, sampled := len(o.members.list), max(o.sampled, 1)
	l.Running = l.Running * all / sampled
	l.Slots = l.Slots * all / sampled
	l.Targets = l.Targets * all / sampled
	l.Own = o.members.running()
	// Own is exact, and the sample may have missed these requests.
	l.Running = max(l.Running, l.Own)
	return l
}

// running returns the number of requests that this node has in progress at the members that
// accept new ones.
func (s *serviceMembers) running() int {
	n := 0
	for m := range s.reportable {
		if !m.target.Draining && !m.target.Evacuated {
			n += m.running
		}
	}
	return n
}
