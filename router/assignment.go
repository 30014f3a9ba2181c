package router

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/affinity"
	"github.com/knapweedgw/knapweedgw/catalog"
	"github.com/knapweedgw/knapweedgw/dispatch"
	"github.com/knapweedgw/knapweedgw/overload"
	"github.com/knapweedgw/knapweedgw/placement"
	"github.com/knapweedgw/knapweedgw/resumption"
	"github.com/knapweedgw/knapweedgw/roster"
)

// assignment is one request's use of a target, from acquire to release.
type assignment struct {
	member  *member
	choice  placement.Choice
	target  *roster.Target
	service string
	since   time.Time
	// queued says that the request probably waits for a slot.
	queued bool
	// class is the kind of the request.
	class string
	// place is the place that a dispatch owner counts for the request, nil for none.
	place *dispatch.Place
}

// criteria are a request's requirements on its target.
type criteria struct {
	service string
	// parts are the shared ones of the request's prompt.
	parts []affinity.Part
	// tried are the targets to leave out, unless only names one.
	tried []string
	// only is the one target that may be taken, empty for any.
	only string
	// granted means that the dispatch owner of the target's places has granted one or decides on one,
	// so that this node's quota doesn't apply.
	granted bool
	// regions are those to whose targets the request may go.
	regions catalog.Regions
	// avoided are the versions at which the request begins only if no other target is left.
	avoided []resumption.Origin
	// began is the version at whose targets the stream may go on, empty for any.
	began resumption.Origin
	// request is the input of the admission decision when the service is full.
	request overload.Request
}

// excludes reports whether a target may not be picked.
func (crit criteria) excludes(t *roster.Target) bool {
	switch {
	case !crit.began.Allows(originOf(t)):
		return true
	case crit.only != "":
		return t.ID != crit.only
	}
	return slices.Contains(crit.tried, t.ID)
}

// key is the hash of the last part, 0 if there is none.
func (crit criteria) key() uint64 {
	if len(crit.parts) == 0 {
		return 0
	}
	return crit.parts[len(crit.parts)-1].Hash
}

// acquire picks a target of a service and counts a request there. If the service is full, ok is
// false and d is the decision that refused the request; if there is no target, ok is false and
// d admits the request.
func (p *pool) acquire(crit criteria) (a assignment, d overload.Decision, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	o := p.evaluate(crit, now)
	load := o.load(p.fleet.LiveNodes(), p.fleet.CountAge()/2) // the average age is half of the maximum
	if d = p.gate(crit.service).Admit(crit.request, load, now); !d.Admitted() {
		return assignment{}, d, false
	}
	req := placement.Request{FailureDomain: p.domain, QueueFactor: d.QueuePerSlot, Key: crit.key()}
	for _, part := range crit.parts {
		req.Shared += part.Tokens
	}
	c, ok := o.Pick(req, p.rng)
	if !ok && !o.isComplete() {
		c, ok = p.evaluateAll(crit, now).Pick(req, p.rng)
	}
	if !ok {
		return assignment{}, d, false
	}
	a = p.assign(crit, c, now)
	a.queued = d.Queued()
	return a, d, true
}

// assign counts a request at the chosen target. The caller must hold p.mu.
func (p *pool) assign(crit criteria, c placement.Choice, now time.Time) assignment {
	m := p.members[c.Target.ID]
	m.running++
	m.markReportable()
	if m.warmUp != nil {
		m.warmUp.RecordSent(now)
	}
	p.recordSentParts(crit.parts, c.Target, now)
	return assignment{member: m, choice: c, target: c.Target, service: crit.service, class: crit.request.Class, since: now}
}

// hasOther reports whether another, reachable target may get the request.
func (p *pool) hasOther(crit criteria) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isReachable := func(c *placement.Candidate) bool { return !c.Unreachable }
	return slices.ContainsFunc(p.evaluate(crit, p.now()).Eligible(), isReachable)
}

// noTargetReason returns why there is no target for a request. If targets are excluded for
// different reasons, a temporary one (in a cooldown, cold) takes precedence over evacuation, and
// evacuation over the region: the reported reason is the last that would have to end for the
// request to have a target.
func (p *pool) noTargetReason(crit criteria) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	why := errNoTarget
	all := p.evaluateAll(crit, p.now()).All()
	if crit.began != "" && !slices.ContainsFunc(all, func(c placement.Candidate) bool { return servesVersion(c, crit.began) }) {
		return errVersionGone
	}
	for _, c := range all {
		switch {
		case c.Draining || c.Leaving || c.Excluded:
		case c.CoolingDown && !c.OutsideRegion && !c.Evacuated:
			return errCoolingDown
		case c.AtQuota && !c.OutsideRegion && !c.Evacuated:
			return errAtQuota
		case c.Cold && !c.OutsideRegion && !c.Evacuated:
			return errCold
		case c.Evacuated && !c.OutsideRegion:
			why = errEvacuated
		case c.OutsideRegion && !errors.Is(why, errEvacuated):
			why = errOutside
		}
	}
	return why
}

// servesVersion reports whether a target of the version accepts requests, or may again later.
func servesVersion(c placement.Candidate, o resumption.Origin) bool {
	return originOf(c.Target) == o && !c.Draining && !c.Leaving
}

// gate returns the admission gate of a service. The caller must hold p.mu.
func (p *pool) gate(service string) *overload.Gate {
	cfg := overload.DefaultConfig()
	if sharesCapacity(p.trafficOf(service)) {
		cfg = overload.SharesConfig()
	}
	g, ok := p.gates[service]
	if !ok || g.UsesShares() != cfg.Shares {
		g = overload.NewGate(cfg, p.rng)
		p.gates[service] = g
	}
	return g
}

// usesShares reports whether the capacity of a service is given out by shares.
func (p *pool) usesShares(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gate(service).UsesShares()
}

// sharesCapacity reports whether the capacity of a service is given out by shares in a shortage:
// if its requests differ in priority and carry prompts, whose durations differ by more than ten.
// Limits on the utilization can't separate priorities there, since they lie closer to each other
// than the error of the counts.
func sharesCapacity(t catalog.Traffic) bool { return t.PromptRouting && t.HasPriorities() }

// retryAfter returns the Retry-After for a caller whose request found no target.
func (p *pool) retryAfter(service string, remaining time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gate(service).RetryAfter(remaining, p.now())
}

// release ends a request's use of a target. Only answered requests contribute to the estimate
// of how long a request occupies a slot: failed connections would make it too short.
func (p *pool) release(a assignment, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.member.running--
	if answered {
		p.gate(a.service).RecordEndOf(a.class, p.now().Sub(a.since), a.queued)
	}
	if a.member.gone && a.member.running == 0 {
		a.member.closeIdle()
	}
}
