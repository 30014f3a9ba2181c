package replica

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/roster"
	"github.com/knapweedgw/knapweedgw/store"
)

// confirmingPeers are other nodes, which the store has last answered at confirmed.
type confirmingPeers struct {
	stubPeers
	confirmed time.Time
}

func (p *confirmingPeers) LaterConfirmedAt(int64) time.Time { return p.confirmed }

// lostStore is a node that can't reach the store for five seconds, while the store answers the others every second
// except between two times. The target is removed at the end, as the others report at once.
func lostStore(t *testing.T, silentFrom, silentUntil time.Duration) (r *Replica, c *clock) {
	t.Helper()
	c = &clock{now: start}
	p := &confirmingPeers{confirmed: start}
	r = newTestReplica(&fakeSource{}, &p.stubPeers, c)
	r.peers = p
	r.applyList(store.ListResult{Revision: 1, KVs: []store.KV{{Key: "t/a", Value: []byte("a"), ModRevision: 1}}})
	for c.now.Before(start.Add(5 * time.Second)) {
		c.advance(checkInterval)
		since := c.now.Sub(start)
		if since%time.Second == 0 && (since < silentFrom || since >= silentUntil) {
			p.confirmed = c.now
		}
		r.storeFailed(errors.New("no answer"))
		r.expire()
	}
	r.storeAnswered()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.applyChange(removed(Entry{Key: "t/a"}, 2), c.now)
	return r, c
}

// Guards against requests to a target that has left, by removing its entry, at a node that alone couldn't reach the store:
// it took the removal for one in an outage.
func TestRemovalIsNoLapseIfOnlyThisNodeLostTheStore(t *testing.T) {
	is := is.New(t)
	r, _ := lostStore(t, 0, 0)
	is.True(r.state.registry.Pool("s")[0].Fallback)
}

// Guards against targets being dropped whose entries expired in an outage of the store.
func TestRemovalAfterAnOutageOfTheStoreIsALapse(t *testing.T) {
	for name, silent := range map[string][2]time.Duration{
		"until this node is answered": {time.Second, time.Hour}, "until others are answered": {2 * time.Second, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, c := lostStore(t, silent[0], silent[1])
			is.True(!r.state.registry.Pool("s")[0].Fallback)
			is.True(!r.state.registry.Expire(c.now.Add(roster.OutageGrace / 4)))
			is.True(r.state.registry.Expire(c.now.Add(roster.OutageGrace)))
		})
	}
}
