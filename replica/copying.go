package replica

import (
	"context"
	"encoding/json"
	"time"

	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/store"
)

// copyMethod is the peer method by which nodes copy from each other.
const copyMethod = "replica.copy"

const (
	// behindGrace is how long another node may be ahead before this one copies from it: the
	// store usually notifies both within milliseconds.
	behindGrace = 250 * time.Millisecond
	// copyTimeout bounds one copy. After a timeout the next copy comes from any node that is
	// ahead then.
	copyTimeout = 700 * time.Millisecond
	// minCopyInterval is the minimum time between two copies, unless the first was one part of
	// several. Changes made in between are copied together; a change that comes alone is copied
	// at once. In a fleet of a thousand nodes a change spreads in four steps, each of which may
	// wait this long.
	minCopyInterval = 100 * time.Millisecond
	// firstCopyTimeout is copyTimeout for a node without a configuration, which refuses all
	// requests meanwhile: about twice what 16 copies of 30 kB at once take on a link of
	// 20 Mbit/s.
	firstCopyTimeout = 350 * time.Millisecond
	// maxConcurrentCopies bounds the copies that a node serves at once. Requests beyond it are
	// rejected as busy, so that the caller asks another node. Each copy takes several times the
	// size of a part in memory.
	maxConcurrentCopies = 16
)

// firstCopyBackoff spreads the copies of a node without a configuration after one that failed.
// At first the other node is mostly busy with maxConcurrentCopies copies of a few milliseconds
// each, after which the nodes that got them serve copies too. If the calls fail for another
// reason, the pauses grow to what nodes with a configuration wait.
var firstCopyBackoff = retry.Backoff{Base: 40 * time.Millisecond, Max: checkInterval}

// catchUp copies from a node that is ahead, if there is one. It returns how long to wait before
// the next check, or 0 if no check is needed before the next heartbeat or tick.
func (r *Replica) catchUp(ctx context.Context) time.Duration {
	node, behind := r.findNodeAhead()
	if !behind {
		return 0
	}
	if wait := r.copyDue.Sub(r.now()); wait > 0 {
		return wait
	}
	r.copyDue = r.now().Add(minCopyInterval)
	more, err := r.copyFrom(ctx, node)
	if more {
		r.copyDue = time.Time{}
		r.triggerCheck()
	}
	if err != nil && r.Catalog() == nil {
		return r.firstCopyPause()
	}
	return 0
}

// firstCopyPause returns the time until the next copy after one that failed while this node has
// no configuration.
func (r *Replica) firstCopyPause() time.Duration {
	r.copyFailures++
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := max(time.Millisecond, firstCopyBackoff.Pause(r.copyFailures, r.rng))
	r.copyDue = r.now().Add(wait)
	return wait
}

// triggerCheck makes check look for a node that is ahead without waiting for its next tick.
func (r *Replica) triggerCheck() {
	select {
	case r.checkNow <- struct{}{}:
	default:
	}
}

// findNodeAhead returns a node that has been ahead of this one for at least behindGrace. There
// is no grace period if this node doesn't watch the store or has no configuration yet.
func (r *Replica) findNodeAhead() (string, bool) {
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

// copyFrom copies from a node that is ahead and reports whether more parts follow. If this
// node's watch did not deliver what the other node has, it is restarted, since it may be
// broken.
func (r *Replica) copyFrom(ctx context.Context, node string) (more bool, err error) {
	timeout := copyTimeout
	if r.Catalog() == nil {
		timeout = firstCopyTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.mu.Lock()
	req := r.state.copyRequest()
	r.mu.Unlock()
	var got CopyReply
	err = r.network.Call(ctx, node, copyMethod, req.onWire(), &got)
	if err == nil {
		got, err = got.unpackEntries()
	}
	if err != nil {
		r.log.Warn("copying from a node that is ahead failed", "peer", node, "err", err)
		return false, err
	}
	got = got.fromWire()
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.state.revision
	ch := r.state.applyReply(got, r.now())
	r.log.Info("copied from a node that is ahead", "peer", node, "revision", store.RevisionOf(got.Revision),
		"era", store.EraOf(got.Revision), "own_revision", store.RevisionOf(own), "own_era", store.EraOf(own),
		"whole", got.Whole, "more", got.More, "entries", len(got.Entries))
	r.publish(ch, sourcePeer)
	r.adoptConfirmation(got)
	if got.Revision > own && !got.Evacuations {
		r.scheduleRelist()
	}
	if r.state.revision > own && !got.More {
		r.requestAnnounce()
	}
	if r.watching && got.Revision > own {
		r.restartWatch()
	}
	return got.More, nil
}

// minRelistInterval is the minimum time between two lists of the store by a node that copies
// from nodes whose release doesn't support evacuations. It leaves half of the time within which
// an evacuation must be in force.
const minRelistInterval = 2500 * time.Millisecond

// scheduleRelist makes the node list the store, because the copy came from a node whose release
// doesn't support evacuations. Callers must hold r.mu.
func (r *Replica) scheduleRelist() {
	if r.now().Sub(r.lastListed) < minRelistInterval {
		return
	}
	r.stale, r.mustList = true, true
	r.restartWatch()
	r.wakeFollower()
}

// adoptConfirmation takes over when the sender's revision was last confirmed to be the store's
// newest, if this copy is at that revision now. Callers must hold r.mu.
func (r *Replica) adoptConfirmation(got CopyReply) {
	if got.ConfirmedAge == nil || got.More || got.Revision != r.state.revision {
		return
	}
	at := r.now().Add(-time.Duration(*got.ConfirmedAge) * time.Millisecond)
	if at.After(r.confirmed) {
		r.confirmed = at
	}
}

// buildReply returns what this copy has beyond req, with the age of its latest confirmation.
func (r *Replica) buildReply(req CopyRequest) CopyReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.state.replyTo(req)
	if known := r.confirmedAt(); !known.IsZero() && !reply.More && reply.Revision == r.state.revision {
		age := r.now().Sub(known).Milliseconds()
		reply.ConfirmedAge = &age
	}
	return reply
}

func (r *Replica) serveCopy(_ context.Context, params json.RawMessage) (any, error) {
	var req CopyRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, err
	}
	var reply CopyReply
	if req.Known {
		reply = r.buildKnown().onWire()
	} else {
		reply = r.buildReply(req.fromWire()).onWire()
	}
	if !req.Parts {
		return reply, nil
	}
	return reply.packEntries()
}
