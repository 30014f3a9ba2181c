package replica

import (
	"context"
	"encoding/json"
	"time"
)

// method is the peer method by which nodes copy from each other.
const method = "replica.copy"

const (
	// behindGrace is how long another node may be ahead before this one
	// copies from it: the store usually tells both within milliseconds.
	behindGrace = 250 * time.Millisecond
	// copyTimeout bounds one copy; the next is taken from whoever is ahead
	// then.
	copyTimeout = 700 * time.Millisecond
)

// behind returns a node that has been ahead of this one for a while.
func (r *Replica) behind() (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	node, ahead := r.peers.Ahead(r.versions())
	if !ahead {
		r.behindSince = time.Time{}
		return "", false
	}
	now := r.now()
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	grace := behindGrace
	if !r.watching || r.state.catalog == nil {
		grace = 0
	}
	return node, now.Sub(r.behindSince) >= grace
}

// copyFrom copies from a node that is ahead. A watch that did not bring what
// the other node has is started again, since it may be dead.
func (r *Replica) copyFrom(ctx context.Context, node string) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	r.mu.Lock()
	want := Want{r.state.catalogEntry.Revision, r.state.revision}
	r.mu.Unlock()
	var got Copy
	if err := r.network.Call(ctx, node, method, want, &got); err != nil {
		r.log.Warn("nothing copied from a node that is ahead", "peer", node, "err", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.state.revision
	ch := r.state.take(got, r.now())
	r.log.Info("copied from a node that is ahead", "peer", node, "revision", got.Revision,
		"own_revision", own, "whole", got.Whole, "entries", len(got.Entries))
	r.publish(ch, sourcePeer)
	if got.Revision > own && !got.Evacuations {
		r.readAgain()
	}
	if got.Revision > own {
		r.changed()
	}
	if r.watching && got.Revision > own {
		r.restartWatch()
	}
}

// readAgainAfter is the least time between two reads of all by a node that copies from
// one which can't tell of evacuations. It leaves half of the time in which an evacuation
// must be in force.
const readAgainAfter = 2500 * time.Millisecond

// readAgain has all be read from the store: the copy came from a node of a release that
// doesn't know of evacuations. It is called with the lock held.
func (r *Replica) readAgain() {
	if r.now().Sub(r.readAt) < readAgainAfter {
		return
	}
	r.stale = true
	r.restartWatch()
	r.wakeFollow()
}

func (r *Replica) serveCopy(_ context.Context, params json.RawMessage) (any, error) {
	var w Want
	if err := json.Unmarshal(params, &w); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.newer(w), nil
}
