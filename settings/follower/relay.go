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
	// DutyInterval is the time between looks at the membership view.
	DutyInterval = 500 * time.Millisecond
	// HeadCheckInterval is the time between a relay's reads of the head, in
	// case its watch is late or has lost a change without an error.
	HeadCheckInterval = 5 * time.Second
	// retryDelay is the wait after the store failed.
	retryDelay = time.Second
)

// errWatchClosed means that a watch ended without saying why.
var errWatchClosed = errors.New("settings: watch closed; watching again")

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
			f.log.Warn("settings are not watched for now; peers are asked meanwhile", "err", err)
			pause.Sleep(ctx, retryDelay)
		}
	}
}

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

// watch catches up, then follows the store until the watch or the duty ends.
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
	relay := time.NewTicker(DutyInterval)
	defer relay.Stop()
	check := time.NewTicker(HeadCheckInterval)
	defer check.Stop()
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
		case <-relay.C:
			if !f.isRelay() {
				return nil
			}
		case <-check.C:
			if _, err := f.catchUp(ctx); err != nil {
				return err
			}
		}
	}
}

func (f *Follower) onBatch(ctx context.Context, b store.Batch) error {
	if b.Err != nil {
		return b.Err
	}
	deltas, err := accepted.FromEvents(b.Events)
	if err != nil {
		return err
	}
	gap := false
	for _, d := range deltas {
		gap = f.absorb(ctx, d, sourceStore) || gap
	}
	if gap {
		_, err = f.catchUp(ctx)
	}
	return err
}

// catchUp reads the head. If it is above what this node holds, the difference
// comes from a peer, which costs the store nothing, or else all records from
// the store. It returns the store's revision to watch from.
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
		if head.Revision <= f.Head() || f.pullNear(ctx, head.Revision) {
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
	f.absorb(ctx, d, sourceStore)
	return page.Revision + 1, nil
}

// pullNear pulls from the other relay, or another peer without one. It returns
// whether this node holds the revision then.
func (f *Follower) pullNear(ctx context.Context, revision int64) bool {
	const relayFirst = 0
	n, ok := duty.AntiEntropyPeer(f.members.View(), relayFirst, newRand())
	if !ok || f.Head() == 0 {
		return false
	}
	err := f.pull(ctx, n.PeerAddr, HintTimeout)
	return err == nil && f.Head() >= revision
}
