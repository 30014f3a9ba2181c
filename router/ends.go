package router

import (
	"context"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/health"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/upstream"
)

// A connection that a target closes before its answer is whole is either a lost answer or
// the end of the target. Which of the two is found out by opening another connection: a
// target that has ended refuses it, and one that lives, or something before it that goes
// on listening, takes it. If neither comes, a later refusal or start of the target tells.

const (
	// suspectFor is how long a run whose connection was closed waits for evidence that
	// its target has ended.
	suspectFor = 3 * time.Second
	// closeSpread is how far apart a node sees the connections close that end with their
	// target.
	closeSpread = 200 * time.Millisecond
	// maxSuspects bounds the runs of a target that wait so.
	maxSuspects = 64
	// probeWait is the longest that a request waits to learn whether it ended its target
	// before it goes to the next: many round trips within a region.
	probeWait = 50 * time.Millisecond
)

// closed notes a run whose target closed the connection. The channel is closed when the
// target was asked whether it takes another.
func (p *pool) closed(m *member, s quarantine.Suspect) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	m.closed = slices.DeleteFunc(m.closed, func(c quarantine.Suspect) bool { return now.Sub(c.Closed) > suspectFor })
	if len(m.closed) < maxSuspects {
		s.Closed = now
		m.closed = append(m.closed, s)
	}
	if m.probe == nil {
		m.probe = make(chan struct{})
		go p.probeEnd(m, m.target.Addr)
	}
	return m.probe
}

// probeEnd finds out whether a target takes connections.
func (p *pool) probeEnd(m *member, addr string) {
	err := p.try(addr)
	if upstream.IsRefused(err) {
		p.ended(m)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		m.closed = nil // the answers were lost
	}
	close(m.probe)
	m.probe = nil
}

// ended is for a target that refuses connections.
func (p *pool) ended(m *member) {
	p.observe(m, health.Unreachable)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blame(m)
}

// blame tells the guard of the runs under which a target ended. That was when it closed
// the first of their connections; what was sent later met no target. It is called with
// the lock held.
func (p *pool) blame(m *member) {
	if len(m.closed) == 0 {
		return
	}
	now, ended := p.now(), m.closed[0].Closed
	suspects := slices.DeleteFunc(m.closed, func(c quarantine.Suspect) bool {
		late := c.Closed.Sub(ended) > closeSpread || !c.Sent.Before(ended)
		return late || now.Sub(c.Closed) > suspectFor
	})
	m.closed = nil
	p.guard.Ended(m.target.ID, m.target.RunHash(), suspects)
}

// closedByTarget is for a connection that a target closed before its answer was whole.
func (x *exchange) closedByTarget(l lease, f *failure) {
	x.router.log.Info("target closed the connection", "request", x.call.ID, "fingerprint", x.fingerprint(),
		"target", l.target.ID, "started", l.target.Started, "running", l.choice.Running,
		"sent_ms_ago", x.router.now().Sub(x.sentAt).Milliseconds(), "begun", x.begun, "cause", f.cause)
	f.probed = x.router.pool.closed(l.member, quarantine.Suspect{
		Request: x.call.ID, Fingerprint: x.fingerprint(), Sent: x.sentAt,
	})
}

// awaitProbe waits until it is known whether the failed attempt ended its target: the
// next one must not run what is in quarantine by then.
func (x *exchange) awaitProbe(ctx context.Context, f *failure) {
	if f.probed == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-f.probed:
	}
}

// fingerprint tells the request from others of its caller, and from those of others.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if !x.hasFingerprint {
		caller := x.workspace
		if caller == "" {
			caller = x.call.Key
		}
		x.knownFingerprint = quarantine.Request{
			Caller: caller, Method: x.req.Method, Host: x.req.Host, URI: x.req.RequestURI, Body: x.body,
		}.Fingerprint()
		x.hasFingerprint = true
	}
	return x.knownFingerprint
}

// beginRun asks whether the request may be run. It returns why not, nil if it may; then
// the caller must call endRun after the attempt.
func (x *exchange) beginRun() *failure {
	guard := x.router.guard
	if !guard.Active() {
		return nil
	}
	d := guard.Begin(x.fingerprint())
	x.guarded = d.Counted
	switch d.Verdict {
	case quarantine.Busy:
		return &failure{reason: problem.SuspectBusy, cause: errSuspectBusy, retryAfter: d.For}
	case quarantine.Quarantined:
		return &failure{reason: problem.Quarantined, cause: errQuarantined, retryAfter: d.For}
	case quarantine.Free:
	}
	return nil
}

// endRun ends what beginRun began. completed says that the target's answer came whole.
func (x *exchange) endRun(completed bool) {
	guard := x.router.guard
	if x.guarded {
		x.guarded = false
		guard.Done(x.fingerprint())
	}
	if completed && guard.Active() {
		guard.Completed(x.fingerprint())
	}
}
