package router

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/completion"
	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/upstream"
)

// When a target closes a connection before its answer is complete, either the answer was lost
// or the target has terminated. The node distinguishes the two by opening another connection: a
// terminated target refuses it; a live target, or a proxy in front of it that keeps listening,
// accepts it. If the connection is neither refused nor accepted, a later refusal or a restart
// of the target shows that it terminated. A refusal counts only if other targets accept this node's
// connections: a node that is partitioned from all targets may be refused by all of them.

const (
	// suspectTTL is how long a request whose connection was closed remains a suspect without
	// evidence that its target has terminated.
	suspectTTL = 3 * time.Second
	// closeSkew is the maximum time between the closing of the connections, as this node
	// observes it, that end with the same termination of a target.
	closeSkew = 200 * time.Millisecond
	// maxSuspects is the maximum number of suspects per target.
	maxSuspects = 64
	// probeTimeout is the longest that a request waits for the result of the probe of its
	// failed target before it goes to the next one: many round trips within a region.
	probeTimeout = 50 * time.Millisecond
)

// probe is an attempt to connect to a target, to see whether it has terminated.
type probe struct {
	// done is closed at its end, after which result is valid.
	done   chan struct{}
	result completion.Target
}

// connectionClosed records a request whose target closed the connection. The returned channel
// is closed when the target has been probed.
func (p *pool) connectionClosed(m *member, s quarantine.Suspect) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	m.suspects = slices.DeleteFunc(m.suspects, func(c quarantine.Suspect) bool { return now.Sub(c.Closed) > suspectTTL })
	if len(m.suspects) < maxSuspects {
		s.Closed = now
		m.suspects = append(m.suspects, s)
	}
	return p.startProbe(m).done
}

// afterConnectionEnd returns what is known of a target that has ended a connection, or a probe whose
// result shows it.
func (p *pool) afterConnectionEnd(m *member) (completion.Target, *probe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case m.target.Draining || m.target.Evacuated || m.notices.Leaving():
		return completion.TargetLeaves, nil
	case p.isReplaced(m):
		return completion.TargetTerminated, nil
	}
	return completion.TargetNotProbed, p.startProbe(m)
}

// isReplaced reports whether a later run has taken the place of a run. The caller must hold p.mu.
func (p *pool) isReplaced(m *member) bool {
	later, ok := p.members[m.target.ID]
	return ok && later != m
}

// startProbe starts a probe of a target unless one is in progress. The caller must hold p.mu.
func (p *pool) startProbe(m *member) *probe {
	if m.probe == nil {
		m.probe = &probe{done: make(chan struct{})}
		go p.probeTarget(m, m.target.Addr)
	}
	return m.probe
}

// probeTarget finds out whether a target accepts connections.
func (p *pool) probeTarget(m *member, addr string) {
	err := p.dial(addr)
	refused := upstream.IsRefused(err)
	if refused {
		p.observe(m, health.Unreachable)
	}
	terminated := refused && p.confirmRefusal(m, addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	m.probe.result = targetAfter(err)
	switch {
	case err == nil:
		m.suspects = nil // the target is alive, so the answers were lost
	case terminated:
		p.reportSuspects(m)
	}
	close(m.probe.done)
	m.probe = nil
}

// targetAfter returns what the error of opening a connection to a target says about it. Unlike a strike
// against a request, this needs no other target's confirmation: an answer that is aborted in vain costs
// less than a truncated one that its caller takes for complete.
func targetAfter(err error) completion.Target {
	switch {
	case err == nil:
		return completion.TargetAccepts
	case upstream.IsRefused(err):
		return completion.TargetTerminated
	}
	return completion.TargetUnclear
}

// connectionRefused handles a target that refuses connections. It has terminated, unless this node has
// lost its path to all targets.
func (p *pool) connectionRefused(m *member) {
	p.observe(m, health.Unreachable)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(m.suspects) > 0 {
		_ = p.startProbe(m) // its result is for the suspects
	}
}

// reportSuspects reports to the quarantine guard the requests that were running when a target
// terminated. The time of the termination is when the target closed the first of their
// connections; requests sent later did not reach it. The caller must hold p.mu.
func (p *pool) reportSuspects(m *member) {
	if len(m.suspects) == 0 {
		return
	}
	now, terminatedAt := p.now(), m.suspects[0].Closed
	if _, limited := p.rejectionLimit(m.target.Service, now); limited {
		m.suspects = nil // it probably terminated since it had to reject too much
		return
	}
	suspects := slices.DeleteFunc(m.suspects, func(c quarantine.Suspect) bool {
		late := c.Closed.Sub(terminatedAt) > closeSkew || !c.Sent.Before(terminatedAt)
		return late || now.Sub(c.Closed) > suspectTTL
	})
	m.suspects = nil
	p.guard.RecordTermination(m.target.ID, m.target.RunHash(), suspects)
}

// closedByTarget handles a connection that the target closed before its answer was complete.
func (x *exchange) closedByTarget(a assignment, f *failure) {
	s := x.attempts.Suspect()
	x.router.log.Info("target closed the connection", append([]any{"target", a.target.ID, "started", a.target.Started,
		"running", a.choice.Running, "begun", x.answerBegun, "cause", f.cause}, s.LogFields(x.router.now())...)...)
	f.probed = x.router.pool.connectionClosed(a.member, s)
}

// awaitProbe waits until it is known whether the target of the failed attempt has terminated,
// since the next attempt must not run a request that this puts into quarantine.
func (x *exchange) awaitProbe(ctx context.Context, f *failure) {
	if f.probed == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-f.probed:
	}
}

// keys returns what identifies the request to the quarantine: copies of it by their caller, method, host, URI and
// body, and the prompt parts that it shares with others.
func (x *exchange) keys() quarantine.Keys {
	caller := x.workspace
	if caller == "" {
		caller = x.call.Key
	}
	request := quarantine.Request{
		Caller: caller, Method: x.req.Method, Host: x.req.Host, URI: x.req.RequestURI, Body: x.body,
	}
	parts := make([]uint64, len(x.call.PromptParts))
	for i, p := range x.call.PromptParts {
		parts[i] = p.Hash
	}
	return quarantine.NewKeys(request.Fingerprint(), x.service, parts)
}

// beginAttempt asks the quarantine guard whether the request may run. It returns the reason if
// it may not, else nil; then the caller must call endAttempt after the attempt.
func (x *exchange) beginAttempt() *failure {
	x.completed, x.succeeded = false, false
	d := x.attempts.Begin()
	switch d.Verdict {
	case quarantine.SuspectInProgress:
		return &failure{reason: problem.SuspectInProgress, cause: errSuspectBusy, retryAfter: d.RetryAfter}
	case quarantine.Quarantined:
		cause := errors.Newf("%s is kept from targets: %d ended under it", d.Cause.Describe(), d.Strikes)
		return &failure{reason: problem.Quarantined, cause: cause, retryAfter: d.RetryAfter}
	case quarantine.Allowed:
	}
	return nil
}

// endAttempt ends an attempt that beginAttempt allowed.
func (x *exchange) endAttempt() {
	switch {
	case x.completed && x.succeeded:
		x.attempts.End(quarantine.Succeeded)
	case x.completed:
		x.attempts.End(quarantine.Completed)
	default:
		x.attempts.End(quarantine.Failed)
	}
}
