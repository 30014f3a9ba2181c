package replica

import (
	"context"
	"time"

	"github.com/knapweedgw/knapweedgw/store"
)

// A watch can stall: it stays open but delivers no events although the store has changed.
// Therefore a node asks the store for its revision whenever no node has confirmed for a while
// that the copies are up to date. Heartbeats spread the confirmations, so that the cost of
// audits doesn't grow with the fleet.
const (
	// auditAfter and auditJitter: a node audits once the latest confirmation in the fleet is
	// older than a random time between auditAfter and auditAfter + auditJitter, so that usually
	// one node audits. This time, a heartbeat and a copy together are below 2 s, the shortest
	// time within which a change must be in force.
	auditAfter  = 600 * time.Millisecond
	auditJitter = 500 * time.Millisecond
	// backupAuditDelay is added for the next backupAuditors nodes, which don't watch: they
	// audit if the watchers, which audit first, got no answer. It is added twice for all
	// others. A watcher's confirmation takes up to half a second to reach all of a fleet of 66,
	// and when all 63 other nodes could audit, one of them always did: three of four audits
	// were theirs.
	backupAuditDelay = 500 * time.Millisecond
	backupAuditors   = 5
	// auditTimeout is short because the store answers in milliseconds; after a timeout another
	// node audits.
	auditTimeout = 400 * time.Millisecond
	// recheckDelay is when a node that found itself behind audits again: by then other nodes or
	// the restarted watch should have delivered the change. If it is still behind, they don't
	// have the change either.
	recheckDelay = 150 * time.Millisecond
	// catchUpDelay is when a node audits again whose copy was behind but has advanced since.
	catchUpDelay = 300 * time.Millisecond
	// auditBackoff is how long a node leaves audits to others after the store failed to answer
	// it.
	auditBackoff = 2 * time.Second
)

// auditDue reports whether this node must audit now. If so, the next audit is due after
// auditTimeout at the earliest.
func (r *Replica) auditDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if !r.behindStoreSince.IsZero() {
		return r.recheckDue(now)
	}
	due := r.latestConfirmation().Add(auditAfter + time.Duration(r.rng.Int64N(int64(auditJitter))) +
		auditDelay(r.rank, r.watching))
	if r.state.revision == 0 || now.Before(due) || now.Before(r.nextAuditAt) {
		return false
	}
	r.nextAuditAt = now.Add(auditTimeout)
	return true
}

// latestConfirmation returns when the copy was last confirmed to be as new as the store, or
// when a live node at a later revision last had that revision confirmed, if that is later:
// this node copies from that node then, and while changes follow one another closely, hardly
// any two nodes are at the same revision. Callers must hold r.mu.
func (r *Replica) latestConfirmation() time.Time {
	own := r.confirmedAt()
	if other := r.peers.LaterConfirmedAt(r.state.revision); other.After(own) {
		return other
	}
	return own
}

// confirmedAt returns when any node last confirmed that this copy's revision is the store's
// newest; zero for never. Callers must hold r.mu.
func (r *Replica) confirmedAt() time.Time {
	if other := r.peers.ConfirmedAt(r.state.revision); other.After(r.confirmed) {
		return other
	}
	return r.confirmed
}

// auditDelay returns the additional time that a node waits before an audit, by its rank among
// the nodes that could watch. It is 0 for watchers.
func auditDelay(rank int, watching bool) time.Duration {
	switch {
	case watching:
		return 0
	case rank < watcherCount+backupAuditors:
		return backupAuditDelay
	}
	return 2 * backupAuditDelay
}

// recheckDue reports whether a node that found itself behind must audit again. It need not once
// it has reached the revision that the store reported. Callers must hold r.mu.
func (r *Replica) recheckDue(now time.Time) bool {
	if r.state.revision >= r.storeRevision {
		r.confirmed = r.behindStoreSince
		r.behindStoreSince = time.Time{}
		return false
	}
	if now.Before(r.behindStoreSince.Add(recheckDelay)) || now.Before(r.nextAuditAt) {
		return false
	}
	r.nextAuditAt = now.Add(auditTimeout)
	return true
}

func (r *Replica) audit(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	revision, err := r.store.Revision(ctx)
	if err == nil {
		r.storeAnswered()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	result := auditResult(err, revision, r.state.revision)
	r.metrics.audits.WithLabelValues(result).Inc()
	switch {
	case err != nil:
		r.nextAuditAt = r.now().Add(auditBackoff)
	case result == auditOutdated:
		// The answer is of an era that has ended: it neither confirms the copy nor shows changes.
	case result == auditRestored:
		r.handleRestored(revision)
	case revision > r.state.revision:
		r.handleBehind(revision)
	default:
		r.behindStoreSince = time.Time{}
		r.confirmed = r.now()
	}
}

// handleBehind handles an audit that found the store ahead of the copy. It first restarts this
// node's watch, if there is one, from the copy's revision; usually other nodes already have the
// change and are about to announce it. Only a node that is still behind a moment later, and has
// not advanced since, lists the store: if hundreds of nodes listed it for a change that is
// still spreading, the store could answer none of them. Callers must hold r.mu.
func (r *Replica) handleBehind(revision int64) {
	again := !r.behindStoreSince.IsZero()
	stuck := again && r.behindRevision == r.state.revision
	r.storeRevision = revision
	r.nextAuditAt = time.Time{}
	if again && !stuck {
		r.nextAuditAt = r.now().Add(catchUpDelay)
	}
	r.log.Warn("copy is behind the store", "revision", store.RevisionOf(r.state.revision), "store_revision", store.RevisionOf(revision),
		"reading_all", stuck)
	if stuck {
		r.stale = true
		r.behindStoreSince = time.Time{}
	} else {
		r.behindStoreSince, r.behindRevision = r.now(), r.state.revision
	}
	r.restartWatch()
	r.wakeFollower()
}

// handleRestored makes the node list a store that is in a later era: what the other nodes have isn't in it, and
// changes in it are in no node's copy. Callers must hold r.mu.
func (r *Replica) handleRestored(position int64) {
	r.log.Warn("store is in a later era; listing it", "era", store.EraOf(r.state.revision), "store_era", store.EraOf(position),
		"revision", store.RevisionOf(r.state.revision), "store_revision", store.RevisionOf(position))
	r.behindStoreSince = time.Time{}
	r.stale = true
	r.restartWatch()
	r.wakeFollower()
}

// Results of audits, the values of a metric label.
const (
	auditFailed   = "failed"
	auditBehind   = "behind"
	auditCurrent  = "current"
	auditRestored = "restored" // the store is in a later era than the copy
	auditOutdated = "outdated" // the store was in an earlier era when it answered
)

func auditResult(err error, position, own int64) string {
	switch {
	case err != nil:
		return auditFailed
	case store.EraOf(position) < store.EraOf(own):
		return auditOutdated
	case store.EraOf(position) > store.EraOf(own):
		return auditRestored
	case position > own:
		return auditBehind
	}
	return auditCurrent
}

// restartWatch cancels the current watch; the next one starts after the copy's revision.
// Callers must hold r.mu.
func (r *Replica) restartWatch() {
	if r.cancelWatch != nil {
		r.cancelWatch()
	}
}

// ConfirmedAge returns how long ago any node last confirmed that this copy's revision is the
// store's newest; ok is false if none ever did.
func (r *Replica) ConfirmedAge(now time.Time) (age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.confirmedAt()
	return now.Sub(known), !known.IsZero()
}
