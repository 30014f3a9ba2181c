package router

import (
	"time"

	"github.com/knapweedgw/knapweedgw/notice"
	"github.com/knapweedgw/knapweedgw/roster"
)

// Kinds of notices, as the metric names them.
const (
	noticeLeaving    = "leaving"
	noticeRest       = "rest"
	noticeUnreadable = "unreadable"
)

// runOf names a run of a target among the notices.
func runOf(t *roster.Target) notice.Run {
	r := notice.Run{Target: t.ID}
	if !t.Started.IsZero() {
		r.Incarnation = t.Started.UnixMilli()
	}
	return r
}

// hearNotice takes what the target of a lease said of itself.
func (p *pool) hearNotice(l lease, n notice.Notice) notice.Change {
	if n == (notice.Notice{}) {
		return notice.Change{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	run := runOf(l.target)
	said, change := p.notices.Hear(run, n, p.now(), p.rng)
	l.member.said = said
	// The target may have left and come back since it was chosen.
	if m, ok := p.members[run.Target]; ok && runOf(m.target) == run {
		m.said = said
	}
	return change
}

// maySend says whether a request that was meant for a target may still go there. It is
// asked when the connection is ready, which may be long after the target was chosen.
func (p *pool) maySend(t *roster.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices.State(runOf(t)).MaySend(p.now())
}

// restFor returns how long it is until the first target may be sent to of those that a
// request could go to, 0 if one of them doesn't rest or there is none.
func (p *pool) restFor(w want) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var least time.Duration
	for _, c := range p.candidates(p.services[w.service], w, now) {
		if c.Draining || c.Leaving || c.Excluded || c.Evacuated || c.Outside {
			continue
		}
		if !c.Resting {
			return 0
		}
		if rest := p.members[c.ID].said.RestFor(now); least == 0 || rest < least {
			least = rest
		}
	}
	return least
}

// heed takes what an answer says of its target, before anything is decided on the answer.
func (x *exchange) heed(l lease, reply Reply, status int) {
	if !reply.isOwn(status, x.call.ID) {
		return
	}
	n := reply.Notice
	change := x.router.pool.hearNotice(l, n)
	if change == (notice.Change{}) {
		return
	}
	log := x.router.log.With("target", l.target.ID, "started", l.target.Started, "request", x.call.ID,
		"status", status, "sent_ms_ago", x.router.now().Sub(x.sentAt).Milliseconds())
	count := x.router.metrics.notices
	if change.Leaves {
		count.WithLabelValues(noticeLeaving).Inc()
		log.Info("target says that it leaves")
	}
	if change.Rests {
		count.WithLabelValues(noticeRest).Inc()
		log.Info("target asks for rest", "rest_ms", n.Rest.Milliseconds())
	}
	if change.Unreadable {
		count.WithLabelValues(noticeUnreadable).Inc()
		log.Warn("Retry-After of a target can't be read", "value", n.Unreadable)
	}
}
