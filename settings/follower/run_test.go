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

// eventually waits until ok returns true; it fails the test after a minute.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	const timeout = time.Minute
	deadline := time.Now().Add(timeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("timeout: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestRunFollowsThroughOutage runs the background goroutines of a fleet of two
// failure domains with four nodes each, of which two watch the store. New revisions
// must reach all nodes, also one that starts during an outage of the store.
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
	servedByAll := func(revision int64) func() bool {
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
	eventually(t, "first revision everywhere", servedByAll(1))
	f.accept(document, "b")
	eventually(t, "second revision everywhere", servedByAll(2))
	f.store.setOutage(true)
	launch(5)
	eventually(t, "a node started in the outage serves", servedByAll(2))
	f.accept(document, "c")
	f.store.setOutage(false)
	eventually(t, "third revision everywhere", servedByAll(3))
}

// TestNewFleetWaitsForTheFirstAcceptance checks that a node of a new fleet isn't
// ready before the operators' first document is accepted.
func TestNewFleetWaitsForTheFirstAcceptance(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1)
	n := f.nodes[0]
	f.store.operatorKVs = []store.KV{{Key: settings.TeamKey("a"), Value: []byte(document), ModRevision: 1}}
	polls := 0
	n.wait = func(_ context.Context, d time.Duration) {
		if d != firstPollInterval {
			return // the delay of an announcement
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
