package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/pause"
)

// In a large fleet a list of all targets takes many pages, and all nodes together read more
// than the store's link can carry in time: each would receive only part of each page before its
// call times out. Therefore, after the first page, only a few nodes at a time continue their
// list, in the order of watchers, and the others copy from those. A list of a single page needs
// no turns.
const (
	// readersPerTurn is the number of nodes that list the store in one turn, and turnInterval
	// the time between two turns: enough for tens of thousands of targets.
	readersPerTurn = 8
	turnInterval   = 3 * time.Second
	// discoveryTime is how long a starting node waits for heartbeats of other nodes. Without
	// them it would rank itself first.
	discoveryTime = 500 * time.Millisecond
	// maxTurnDelay bounds the wait for a turn. After it the node continues its list regardless
	// of the others.
	maxTurnDelay = 12 * time.Second
	// turnPollInterval is the time between two checks whether a copy has arrived.
	turnPollInterval = 50 * time.Millisecond
)

// errListSuperseded ends a list that is no longer needed.
var errListSuperseded = errors.New("replica: a copy of another node is as new as the list")

// turnStart returns when a node of the given rank may read further pages. The node started at
// startedAt and began its list at listStarted.
func turnStart(rank int, startedAt, listStarted time.Time) time.Time {
	turn := listStarted.Add(min(time.Duration(rank/readersPerTurn)*turnInterval, maxTurnDelay))
	if earliest := startedAt.Add(discoveryTime); earliest.After(turn) {
		return earliest
	}
	return turn
}

// awaitTurn returns nil when this node may read another page of a list at the given revision,
// errListSuperseded when a copy has made the list unnecessary, or the error of ctx.
func (r *Replica) awaitTurn(ctx context.Context, revision int64) error {
	for {
		copied, wait := r.turnState(revision)
		if copied {
			return errListSuperseded
		}
		if wait <= 0 {
			return ctx.Err()
		}
		pause.Sleep(ctx, min(wait, turnPollInterval))
		if err := ctx.Err(); err != nil {
			return err
		}
	}
}

// turnState reports whether the copy is as new as a list at the given revision, and otherwise
// how long this node must wait for its turn.
func (r *Replica) turnState(revision int64) (copied bool, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.mustList && !r.state.incomplete && r.state.revision >= revision {
		return true, 0
	}
	rank, _ := r.peers.WatcherRank(r.storeUnreachable)
	return false, turnStart(rank, r.startedAt, r.listStarted).Sub(r.now())
}
