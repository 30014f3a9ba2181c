package router

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/dispatch"
	"github.com/knapweedgw/knapweedgw/heartbeat"
	"github.com/knapweedgw/knapweedgw/placement"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/retry"
)

// Dispatcher grants the places of services that have few of them.
type Dispatcher interface {
	Acquire(ctx context.Context, r dispatch.Request) dispatch.Answer
	// RecordUngranted records a request that this node sends to a target without a grant.
	RecordUngranted(service, workspace, target string) *dispatch.Place
}

const (
	// maxPlaceAsks is the maximum number of places asked for in one attempt, if the granted
	// targets turn out to be unusable by this node's view.
	maxPlaceAsks = 3
	// maxExcluded is the maximum number of targets that a continued stream leaves out when its node asks
	// an owner for a place, about 20 bytes each. With more, the node picks a target by itself.
	maxExcluded = 64
)

// acquirePlace asks the owner of the service's places for one. If no owner can decide, the node does.
func (x *exchange) acquirePlace(ctx context.Context) (a assignment, fail *failure) {
	p := x.router.pool
	if x.began != "" && len(p.unusable(x.criteria())) > maxExcluded {
		return x.acquireWithoutOwner()
	}
	var unusable []string // granted targets
	for range maxPlaceAsks {
		req := x.placeRequest()
		req.Exclude = append(req.Exclude, unusable...)
		answer := x.router.dispatcher.Acquire(ctx, req)
		x.summary.owner, x.summary.fallback = answer.Owner, answer.Why
		x.summary.waited += answer.Waited
		switch answer.Outcome {
		case dispatch.Granted:
			crit := x.criteria()
			crit.only, crit.granted = answer.Place.Target(), true
			if a, ok := p.acquireGranted(crit); ok {
				a.place = answer.Place
				return a, nil
			}
			answer.Place.Release(cell.Unknown)
			unusable = append(unusable, crit.only)
		case dispatch.Refused:
			return a, x.placeRefused(answer)
		case dispatch.Canceled:
			return a, &failure{reason: problem.DeadlineExceeded, cause: context.Cause(ctx)}
		default:
			return x.acquireWithoutOwner()
		}
	}
	return x.acquireWithoutOwner()
}

// acquireWithoutOwner picks a target by the nodes' counts and reports the place to the owner.
func (x *exchange) acquireWithoutOwner() (a assignment, fail *failure) {
	a, admission, ok := x.acquireByCounts()
	if !ok {
		return a, x.noTargetFailure(admission)
	}
	a.place = x.router.dispatcher.RecordUngranted(x.service, x.workspace, a.target.ID)
	return a, nil
}

func (x *exchange) placeRequest() dispatch.Request {
	left, _ := x.remaining()
	return dispatch.Request{
		Service: x.service, Workspace: x.workspace, Urgency: x.priority,
		Remaining: left, Work: x.router.pool.workBound(x.service), Exclude: x.router.pool.unusable(x.criteria()),
	}
}

var errNoPlace = errors.New("the service's owner has no place that is free in time")

// placeRefused returns the failure of a request for which the owner has no place.
func (x *exchange) placeRefused(answer dispatch.Answer) *failure {
	f := &failure{progress: retry.NotSent, reason: problem.Saturated, cause: errNoPlace, retryAfter: answer.RetryAfter}
	switch answer.Reason {
	case cell.ReasonWorkspaceLimit:
		f.reason = problem.WorkspaceLimit
	case cell.ReasonNoTarget:
		f.reason, f.cause = problem.NoTarget, x.router.pool.noTargetReason(x.criteria())
	}
	return f
}

// releasePlace ends the place of the attempt in progress; fail is how the attempt ended, nil if it
// was answered.
func (x *exchange) releasePlace(fail *failure) {
	if x.place == nil {
		return
	}
	x.place.Release(placeResult(fail))
	x.place = nil
}

// placeResult returns what the end of an attempt says about its target. A target's own failures
// say nothing, since some kinds of requests fail often on healthy targets.
func placeResult(fail *failure) cell.Result {
	switch {
	case fail == nil:
		return cell.Answered
	case fail.stale || fail.local || fail.overdue || fail.callerGone || fail.reason == problem.Internal:
		return cell.Unknown
	case fail.progress == retry.Refused:
		return cell.Overloaded
	case fail.progress == retry.NotSent:
		return cell.Failed
	}
	return cell.Unknown
}

// acquireGranted counts a request at the one target that crit allows, whose place was granted. ok
// is false if this node can't use the target.
func (p *pool) acquireGranted(crit criteria) (a assignment, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	c, ok := p.evaluateAll(crit, now).Pick(placement.Request{FailureDomain: p.domain, Key: crit.key()}, p.rng)
	if !ok {
		return assignment{}, false
	}
	return p.assign(crit, c, now), true
}

// unusable returns the IDs of the targets that a request can't use by this node's view.
func (p *pool) unusable(crit criteria) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, c := range p.evaluateAll(crit, p.now()).All() {
		if c.Ineligible() || c.CoolingDown {
			out = append(out, c.ID)
		}
	}
	return out
}

// dispatched reports whether owners grant the places of a service.
func (p *pool) dispatched(service string) bool {
	t := p.trafficOf(service)
	if t.PromptRouting || t.Routes == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[service]
	if s == nil {
		return false
	}
	return dispatch.CalledFor(s.usualPlaces(p.now()), p.fleet.FleetSize(), t.PromptRouting)
}

// placeDecay is the time constant with which the number of places that counts for the choice of the
// mode falls, so that it stays the same while a few targets are replaced or crash.
const placeDecay = time.Minute

// placeCount is a number of places that rises at once and falls slowly.
type placeCount struct {
	value float64
	at    time.Time
}

// update returns the count after a service was seen with n places at now.
func (c *placeCount) update(n int, now time.Time) int {
	if !c.at.IsZero() {
		c.value = float64(n) + (c.value-float64(n))*math.Exp(-now.Sub(c.at).Seconds()/placeDecay.Seconds())
	}
	c.value, c.at = max(c.value, float64(n)), now
	return int(math.Round(c.value))
}

// usualPlaces returns the number of slots of the members that don't drain.
func (s *serviceMembers) usualPlaces(now time.Time) int {
	n := 0
	for _, m := range s.list {
		if !m.target.Draining {
			n += m.target.Slots
		}
	}
	return s.places.update(n, now)
}

// Targets implements dispatch.Directory.
func (p *pool) Targets(service string) (targets []cell.Target, dispatched bool) {
	if !p.dispatched(service) {
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	limit := p.warmUpOf(service)
	waiting := pipelined
	if _, limited := p.rejectionLimit(service, now); limited {
		waiting = func(int, time.Duration) int { return 0 }
	}
	for _, c := range p.evaluateAll(criteria{service: service, granted: true}, now).Eligible() {
		t := cell.Target{
			ID: c.ID, Slots: c.Slots, Capacity: c.Slots + waiting(c.Slots, p.gate(service).MeanDuration()),
			Incarnation: runOf(c.Target).Incarnation, Domain: c.FailureDomain,
		}
		if c.Cold {
			t.ColdUntil, t.ColdPerSecond = c.ColdEnd(limit.Duration), limit.PerSecond
		}
		targets = append(targets, t)
	}
	return targets, true
}

// grantGap is the time from the end of a request on a target until the next one arrives there: the
// release is sent within 2 ms, and it, the grant and the request take up to 1.4 ms each between
// failure domains.
const grantGap = 6 * time.Millisecond

// pipelined returns the number of places beyond a target's slots that keep all slots busy during the
// gap between two requests, given the mean duration of a request. It is at most half of the slots,
// so that few requests wait at a target that has become slow.
func pipelined(slots int, duration time.Duration) int {
	if duration <= 0 {
		return 0
	}
	return min(int(math.Ceil(float64(slots)*grantGap.Seconds()/duration.Seconds())), slots/2)
}

// Services implements dispatch.Directory.
func (p *pool) Services() []string {
	p.mu.Lock()
	var all []string
	for s := range p.services {
		all = append(all, s)
	}
	p.mu.Unlock()
	return slices.DeleteFunc(all, func(s string) bool { return !p.dispatched(s) })
}

// CountedRunning implements dispatch.Directory.
func (p *pool) CountedRunning(_, target string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.members[target]
	if !ok {
		return 0
	}
	running := 0
	p.fleet.Targets([]uint64{m.target.RunHash()}, func(_ int, s heartbeat.Sum) { running = s.Running })
	return running
}

// workBound returns the time that few requests to a service take, 0 if unknown.
func (p *pool) workBound(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gate(service).WorkBound()
}

var _ dispatch.Directory = (*pool)(nil)
