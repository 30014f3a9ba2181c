package replica

import (
	"time"

	"github.com/knapweedgw/knapweedgw/store"
)

// outageGap is how long the store must have answered no node at all for an outage, in which entries of live targets
// may expire. It is longer than confirmations are apart while the store answers, and shorter than the heartbeats
// that a target must miss before its entry expires. A node that alone can't reach the store sees the others'
// confirmations go on: entries that are removed meanwhile belong to targets that left.
const outageGap = auditAfter + auditJitter + checkInterval

// answers follows when the store last answered any node.
type answers struct{ latest time.Time }

// observe records an answer at the given time, as far as this node knows. It reports whether that ends an outage; one
// before the first known answer counts.
func (a *answers) observe(at time.Time) (endsOutage bool) {
	if !at.After(a.latest) {
		return false
	}
	endsOutage = a.isOutage(at)
	a.latest = at
	return endsOutage
}

// isOutage reports whether the store has answered no node for longer than outageGap.
func (a *answers) isOutage(now time.Time) bool { return now.Sub(a.latest) > outageGap }

// updateOutage marks an outage of the store that goes on, or has ended, if this node can't reach the store. Callers must
// hold r.mu.
func (r *Replica) updateOutage() {
	latest := r.latestConfirmation()
	ended := r.answers.observe(latest)
	switch {
	case !r.storeUnreachable:
	case ended:
		r.state.registry.MarkOutage(latest)
	case r.answers.isOutage(r.now()):
		r.state.registry.MarkOutage(r.now())
	}
}

// storeAnswered records that the store is reachable.
func (r *Replica) storeAnswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateOutage()
	now := r.now()
	ended := r.answers.observe(now)
	if r.storeUnreachable {
		r.log.Info("store regained", "others_were_answered", !ended)
		if ended {
			r.state.registry.MarkOutage(now)
		}
	}
	r.storeUnreachable = false
}

// storeFailed records that the store isn't reachable.
func (r *Replica) storeFailed(err error) {
	r.metrics.storeErrors.Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.storeUnreachable {
		r.log.Warn("store lost; the last values stay in force", "revision", store.RevisionOf(r.state.revision), "err", err)
	}
	r.storeUnreachable = true
	r.updateOutage()
}
