package replica

import (
	"context"
	"time"
)

// Every change wakes every watch, and each time costs a billed call. Therefore only a few nodes
// watch the store, and changes spread from node to node. Each node derives the watchers from
// its own ranking of the live nodes; while the nodes' views differ, there are a few more or
// fewer watchers. Audits detect changes that no watcher received.
const (
	// watcherCount is the number of nodes that watch the store: two of them may be partitioned
	// or have a stalled watch at once without a delay of changes.
	watcherCount = 3
	// watcherHysteresis is added to watcherCount for a node that already watches, so that a
	// node which joins and leaves repeatedly causes few changes of role.
	watcherHysteresis = 1
	// watchDelay is how long a node waits after its start, to receive heartbeats of the others,
	// before it may watch. Until then audits keep it up to date.
	watchDelay = 1200 * time.Millisecond
)

// updateWatcherRole decides whether this node watches the store.
func (r *Replica) updateWatcherRole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	rank, discovered := r.peers.WatcherRank(r.storeUnreachable)
	r.rank = rank
	watch := shouldWatch(rank, r.watching, r.now().Sub(r.startedAt))
	if watch == r.watching {
		return
	}
	r.watching = watch
	r.log.Info("watcher role changed", "watching", watch, "rank", rank, "heard", discovered)
	r.restartWatch()
	r.wakeFollower()
}

// wakeFollower wakes follow in awaitWork.
func (r *Replica) wakeFollower() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// shouldWatch reports whether a node of the given rank should watch the store, by whether it
// watches already and how long it has been running.
func shouldWatch(rank int, watching bool, running time.Duration) bool {
	if running < watchDelay {
		return false
	}
	limit := watcherCount
	if watching {
		limit += watcherHysteresis
	}
	return rank < limit
}

// awaitWork returns when this node must watch the store or list it again.
func (r *Replica) awaitWork(ctx context.Context) {
	for !r.hasWork() {
		select {
		case <-r.wakeup:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Replica) hasWork() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watching || r.stale
}

// StoreUnreachable reports whether this node can't reach the store at present.
func (r *Replica) StoreUnreachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeUnreachable
}
