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
	// viewTimeout is how long a starting node waits until its membership view
	// has other nodes.
	viewTimeout = 500 * time.Millisecond
	// viewPollInterval is the interval of reading the view during viewTimeout.
	viewPollInterval = 20 * time.Millisecond
	// firstTimeout is how long a node of a fleet without accepted settings waits
	// for the first acceptance, if operators have written a document.
	firstTimeout = 10 * time.Second
	// firstPollInterval is the interval of reading the head during firstTimeout.
	firstPollInterval = 100 * time.Millisecond
	// bootstrapDelay is the retry delay when neither the store nor a peer
	// answered.
	bootstrapDelay = 500 * time.Millisecond
)

// bootstrap reads the newest settings that the store or one of the node's seeds
// holds, and then serves them. Seeds are asked even if the store answers, because
// its response may be stale. bootstrap retries until the store or a seed that
// serves settings has answered.
func (f *Follower) bootstrap(ctx context.Context) {
	f.awaitView(ctx)
	for ctx.Err() == nil {
		fromPeers := f.askSeeds(ctx)
		_, err := f.catchUp(ctx)
		if fromPeers || err == nil {
			break
		}
		f.log.Warn("no settings yet: neither the store nor a peer answers; retrying", "err", err)
		pause.Sleep(ctx, bootstrapDelay)
	}
	f.awaitFirst(ctx)
	f.mu.Lock()
	f.ready = ctx.Err() == nil
	f.mu.Unlock()
	f.publish()
}

// awaitView waits until the view has another node, for viewTimeout at most.
func (f *Follower) awaitView(ctx context.Context) {
	deadline := f.now().Add(viewTimeout)
	for len(f.members.View().Nodes) <= 1 && f.now().Before(deadline) && ctx.Err() == nil {
		pause.Sleep(ctx, viewPollInterval)
	}
}

// awaitFirst waits until the first settings of a new fleet are accepted, because a
// node that becomes ready without settings rejects every caller. It returns early
// if operators have written no document or the store fails, and after firstTimeout if
// none is accepted.
func (f *Follower) awaitFirst(ctx context.Context) {
	deadline := f.now().Add(firstTimeout)
	for f.Head() == 0 && f.now().Before(deadline) && ctx.Err() == nil {
		page, err := f.store.List(ctx, settings.Prefix)
		if err != nil || len(page.KVs) == 0 {
			return
		}
		f.wait(ctx, firstPollInterval)
		if _, err := f.catchUp(ctx); err != nil {
			return
		}
	}
}

// askSeeds pulls from the seed with the highest head. It returns whether a seed that
// serves settings answered and the pull succeeded. A seed that is still starting
// is pulled from if its head is the highest, but doesn't end the bootstrap, since
// it may not hold the newest settings yet.
func (f *Follower) askSeeds(ctx context.Context) bool {
	best, ready := f.bestSeed(ctx)
	if best.head > f.Head() && f.pull(ctx, best.addr, callTimeout) != nil {
		return false
	}
	return ready
}

// bestSeed asks all seeds for their heads. It returns the seed with the highest head
// and whether any seed that answered serves settings.
func (f *Follower) bestSeed(ctx context.Context) (best hint, ready bool) {
	var mu sync.Mutex
	f.forEach(duty.Seeds(f.members.View(), newRand()), func(n membership.Node) {
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
