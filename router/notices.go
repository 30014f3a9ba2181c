package router

import (
	"time"

	"github.com/knapweedgw/knapweedgw/notice"
	"github.com/knapweedgw/knapweedgw/roster"
)

// runOf returns the key of a target's current run, from one start to the next, in the notice
// book.
func runOf(t *roster.Target) notice.Run {
	r := notice.Run{Target: t.ID}
	if !t.Started.IsZero() {
		r.Incarnation = t.Started.UnixMilli()
	}
	return r
}

// recordNotice records a notice from the assigned target.
func (p *pool) recordNotice(a assignment, n notice.Notice) notice.Change {
	if n == (notice.Notice{}) {
		return notice.Change{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	run := runOf(a.target)
	state, change := p.notices.Record(run, n, p.now(), p.rng)
	a.member.notices = state
	// The target may have been removed and added again since it was chosen.
	if m, ok := p.members[run.Target]; ok && runOf(m.target) == run {
		m.notices = state
	}
	return change
}

// maySend reports whether a request may still be sent to the target. It is called when the
// connection is ready, which may be long after the target was chosen.
func (p *pool) maySend(t *roster.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices.State(runOf(t)).MaySend(p.now())
}

// shortestCooldown returns the time until the first of the eligible targets in a cooldown
// accepts requests again; 0 if one of them is in no cooldown or there is none.
func (p *pool) shortestCooldown(crit criteria) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var shortest time.Duration
	for _, c := range p.evaluateAll(crit, now).All() {
		if c.Ineligible() {
			continue
		}
		if !c.CoolingDown {
			return 0
		}
		if left := p.members[c.ID].notices.CooldownLeft(now); shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// recordNotice records and logs the notice in an answer, before anything is decided on the
// answer.
func (x *exchange) recordNotice(a assignment, reply ReplyHeader, status int) {
	if !reply.isFromTarget(status, x.call.ID) {
		return
	}
	change := x.router.pool.recordNotice(a, reply.Notice)
	if change == (notice.Change{}) {
		return
	}
	log := x.router.log.With("target", a.target.ID, "started", a.target.Started, "request", x.call.ID,
		"status", status, "sent_ms_ago", x.router.now().Sub(x.sentAt).Milliseconds())
	notice.Report(log, x.router.metrics.notices, reply.Notice, change)
}
