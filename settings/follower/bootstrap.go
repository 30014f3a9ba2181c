package follower

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/settings/duty"
)

const (
	// viewWait is how long a starting node waits to hear of other nodes.
	viewWait = 500 * time.Millisecond
	// viewPoll is the time between looks at the view meanwhile.
	viewPoll = 20 * time.Millisecond
	// firstWait is how long a node of a fleet without accepted settings waits
	// for the first, if operators have written any.
	firstWait = 10 * time.Second
	// firstPoll is the time between reads of the head meanwhile.
	firstPoll = 100 * time.Millisecond
	// bootstrapDelay is the wait when neither the store nor a peer answered.
	bootstrapDelay = 500 * time.Millisecond
)

// bootstrap finds the newest settings that the store or a peer of the region
// holds, then serves them. Peers are asked also when the store answers, for
// its answer may be stale. It returns when one of them has answered.
func (f *Follower) bootstrap(ctx context.Context) {
	f.awaitView(ctx)
	for ctx.Err() == nil {
		fromPeers := f.askSeeds(ctx)
		_, err := f.catchUp(ctx)
		if fromPeers || err == nil {
			break
		}
		f.log.Warn("no settings yet: neither the store nor a peer answers; asking again", "err", err)
		pause.Sleep(ctx, bootstrapDelay)
	}
	f.awaitFirst(ctx)
	f.mu.Lock()
	f.ready = ctx.Err() == nil
	f.mu.Unlock()
	f.publish()
}

func (f *Follower) awaitView(ctx context.Context) {
	deadline := f.now().Add(viewWait)
	for len(f.members.View().Nodes) <= 1 && f.now().Before(deadline) && ctx.Err() == nil {
		pause.Sleep(ctx, viewPoll)
	}
}

// awaitFirst waits until the first settings of a new fleet are accepted, lest
// the node be ready and know no caller. It gives up when there are none to
// accept, the store fails, or all are refused for firstWait.
func (f *Follower) awaitFirst(ctx context.Context) {
	deadline := f.now().Add(firstWait)
	for f.Head() == 0 && f.now().Before(deadline) && ctx.Err() == nil {
		page, err := f.store.List(ctx, settings.Prefix)
		if err != nil || len(page.KVs) == 0 {
			return
		}
		f.wait(ctx, firstPoll)
		if _, err := f.catchUp(ctx); err != nil {
			return
		}
	}
}

// askSeeds pulls from the peer with the highest head. It returns whether a
// peer that serves settings answered: others may be as ignorant as this node,
// though what they hold counts.
func (f *Follower) askSeeds(ctx context.Context) bool {
	best, ready := f.bestSeed(ctx)
	if best.head > f.Head() && f.pull(ctx, best.addr, callTimeout) != nil {
		return false
	}
	return ready
}

func (f *Follower) bestSeed(ctx context.Context) (best hint, ready bool) {
	var mu sync.Mutex
	f.each(duty.Seeds(f.members.View(), newRand()), func(n membership.Node) {
		reply, err := f.askHead(ctx, n.PeerAddr, methodHead, headMessage{}, callTimeout)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		ready = ready || reply.Ready
		if reply.Head > best.head {
			best = hint{addr: n.PeerAddr, head: reply.Head}
		}
	})
	return best, ready
}
