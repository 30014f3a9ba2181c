package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/settings/duty"
	"github.com/knapweedgw/knapweedgw/store"
)

const (
	// DutyInterval is the time between checks whether this node is a relay.
	DutyInterval = 500 * time.Millisecond
	// HeadCheckInterval is the time between a relay's reads of the head, in
	// case its watch is delayed or has lost a change without an error.
	HeadCheckInterval = 5 * time.Second
	// retryDelay is the wait after a store error.
	retryDelay = time.Second
)

// errWatchClosed is returned when a watch's channel is closed without an error.
var errWatchClosed = errors.New("settings: watch closed; watching again")

// isRelay returns whether this node is a relay of its failure domain.
func (f *Follower) isRelay() bool {
	v := f.members.View()
	return duty.Position(duty.Relays(v, f.self().FailureDomain), v.Self) >= 0
}

// relayLoop watches the store while this node is a relay.
func (f *Follower) relayLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.isRelay() {
			pause.Sleep(ctx, DutyInterval)
			continue
		}
		if err := f.watch(ctx); err != nil && ctx.Err() == nil {
			f.metrics.watchRestarts.WithLabelValues(watchEnd(err)).Inc()
			f.log.Warn("settings watch ended; restarting it and pulling from peers meanwhile", "err", err)
			pause.Sleep(ctx, retryDelay)
		}
	}
}

// watchEnd returns the reason label of watch_restarts_total.
func watchEnd(err error) string {
	switch {
	case errors.Is(err, store.ErrCompacted):
		return "compacted"
	case errors.Is(err, store.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, errWatchClosed):
		return "closed"
	}
	return "other"
}

// watch catches up, then applies the store's changes until the watch ends or this
// node is no relay any more.
func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	from, err := f.catchUp(ctx)
	if err != nil {
		return err
	}
	batches, err := f.store.Watch(ctx, accepted.Prefix, from)
	if err != nil {
		return err
	}
	dutyCheck := time.NewTicker(DutyInterval)
	defer dutyCheck.Stop()
	headCheck := time.NewTicker(HeadCheckInterval)
	defer headCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case b, ok := <-batches:
			if !ok {
				return errWatchClosed
			}
			if err := f.onBatch(ctx, b); err != nil {
				return err
			}
		case <-dutyCheck.C:
			if !f.isRelay() {
				return nil
			}
		case <-headCheck.C:
			if _, err := f.catchUp(ctx); err != nil {
				return err
			}
		}
	}
}

// onBatch applies a batch of the watch, and catches up if changes before it are
// missing.
func (f *Follower) onBatch(ctx context.Context, b store.WatchBatch) error {
	if b.Err != nil {
		return b.Err
	}
	deltas, err := accepted.FromEvents(b.Events)
	if err != nil {
		return err
	}
	gap := false
	for _, d := range deltas {
		gap = f.apply(ctx, d, sourceStore) || gap
	}
	if gap {
		_, err = f.catchUp(ctx)
	}
	return err
}

// catchUp reads the head from the store. If it is above this node's head, it pulls
// the difference from a peer, which puts no load on the store, or otherwise lists
// all records in the store. It returns the store's revision to watch from.
func (f *Follower) catchUp(ctx context.Context) (from int64, err error) {
	kv, ok, err := f.store.Get(ctx, accepted.HeadKey)
	if err != nil {
		return 0, err
	}
	if ok {
		head, err := accepted.DecodeHead(kv)
		if err != nil {
			return 0, err
		}
		if head.Revision <= f.Head() || f.pullFromPeer(ctx, head.Revision) {
			return kv.ModRevision + 1, nil
		}
	}
	page, err := f.store.List(ctx, accepted.Prefix)
	if err != nil {
		return 0, err
	}
	d, _, err := accepted.FromPage(page)
	if err != nil {
		return 0, err
	}
	f.apply(ctx, d, sourceStore)
	return page.Revision + 1, nil
}

// pullFromPeer pulls from the other relay of the failure domain, or from another
// node if there is none. It returns whether this node then holds the revision.
func (f *Follower) pullFromPeer(ctx context.Context, revision int64) bool {
	const relayFirst = 0 // an even round prefers the relay
	n, ok := duty.AntiEntropyPeer(f.members.View(), relayFirst, newRand())
	if !ok || f.Head() == 0 {
		return false
	}
	err := f.pull(ctx, n.PeerAddr, HintTimeout)
	return err == nil && f.Head() >= revision
}
