package follower

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/settings/duty"
)

const (
	// viewWait is how long a starting node waits to hear of other nodes.
	viewWait = 500 * time.Millisecond
	// viewPoll is the time between looks at the view meanwhile.
	viewPoll = 20 * time.Millisecond
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
		sleep(ctx, bootstrapDelay)
	}
	f.mu.Lock()
	f.ready = ctx.Err() == nil
	f.mu.Unlock()
	f.publish()
}

func (f *Follower) awaitView(ctx context.Context) {
	deadline := f.now().Add(viewWait)
	for len(f.members.View().Nodes) <= 1 && f.now().Before(deadline) && ctx.Err() == nil {
		sleep(ctx, viewPoll)
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
