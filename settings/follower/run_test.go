package follower

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/store"
)

// eventually waits for what must happen; it fails only if it never does.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	const patience = time.Minute
	deadline := time.Now().Add(patience)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestRunFollowsThroughOutage runs the background work of a
// fleet: two failure domains of four nodes, of which two each watch the store.
func TestRunFollowsThroughOutage(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := newFleet(8, 2, 1)
	launch := func(i int) {
		n := f.replace(i)
		n.now = time.Now
		n.spawn, n.wait = func(do func()) { go do() }, pause.Sleep
		is.NoErr(n.Start(ctx))
	}
	everywhere := func(revision int64) func() bool {
		return func() bool {
			for _, n := range f.nodes {
				if s := n.Snapshot(); s == nil || s.Revision < revision {
					return false
				}
			}
			return true
		}
	}
	f.accept(document, "a")
	for i := range f.nodes {
		launch(i)
	}
	eventually(t, "first revision everywhere", everywhere(1))
	f.accept(document, "b")
	eventually(t, "second revision everywhere", everywhere(2))
	f.store.setOutage(true)
	launch(5)
	eventually(t, "a node started in the outage serves", everywhere(2))
	f.accept(document, "c")
	f.store.setOutage(false)
	eventually(t, "third revision everywhere", everywhere(3))
}

// TestNewFleetWaitsForTheFirstAcceptance requires that a node isn't ready
// before operators' first settings are accepted.
func TestNewFleetWaitsForTheFirstAcceptance(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1)
	n := f.nodes[0]
	f.store.raw = []store.KV{{Key: settings.TeamKey("a"), Value: []byte(document), ModRevision: 1}}
	polls := 0
	n.wait = func(_ context.Context, d time.Duration) {
		if d != firstPoll {
			return // of an announcement
		}
		is.True(n.Snapshot() == nil)
		if polls++; polls == 3 {
			f.accept(document, "a")
		}
	}
	n.now = time.Now
	n.bootstrap(context.Background())
	is.Equal(polls, 3)
	is.Equal(n.Snapshot().Revision, int64(1))
}
