package platform

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/etcd"
	"github.com/knapweedgw/knapweedgw/store/storetest"
)

// clock is a clock that a test advances.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newTest() (*Platform, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	return newAt(c.Now), c
}

func fixture(p *Platform, c *clock, s store.Store) storetest.Fixture {
	advance := func(d time.Duration) { c.Advance(d); p.store.Expire() }
	return storetest.Fixture{Store: s, Advance: advance, Compact: p.store.Compact}
}

// TestStoreContract runs the contract tests of stores against the store without faults.
func TestStoreContract(t *testing.T) {
	storetest.Run(t, func(*testing.T) storetest.Fixture {
		p, c := newTest()
		return fixture(p, c, p.Store())
	})
}

// TestServedStoreContract runs the contract tests of stores over HTTP.
func TestServedStoreContract(t *testing.T) {
	storetest.Run(t, func(t *testing.T) storetest.Fixture {
		p, c := newTest()
		return fixture(p, c, client(t, p))
	})
}

func client(t *testing.T, p *Platform) *etcd.Client {
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections) // runs before Close, which would wait for open watches
	return etcd.New([]string{srv.URL}, time.Minute)
}

// put returns a transaction that writes a key.
func put(key string) store.Txn { return store.Txn{Ops: []store.Op{{Key: key, Value: []byte("v")}}} }

// TestWriteFaults checks, for each switch, which error a write returns and whether it took effect.
func TestWriteFaults(t *testing.T) {
	tests := map[string]struct {
		faults Faults
		want   error
		effect bool
	}{
		"healthy":     {Faults{}, nil, true},
		"outage":      {Faults{Outage: true}, store.ErrUnavailable, false},
		"lost answer": {Faults{LoseEvery: 1}, store.ErrUncertain, true},
		"slow":        {Faults{DelayMS: 1}, nil, true},
	}
	for name, tt := range tests {
		for kind, open := range map[string]func(*testing.T, *Platform) store.Store{
			"direct": func(_ *testing.T, p *Platform) store.Store { return p.Store() },
			"served": func(t *testing.T, p *Platform) store.Store { return client(t, p) },
		} {
			t.Run(name+" "+kind, func(t *testing.T) {
				is := is.New(t)
				p, _ := newTest()
				s := open(t, p)
				p.SetFaults(tt.faults)
				_, _, err := s.Commit(context.Background(), put("k"))
				is.True(errors.Is(err, tt.want) || err == nil && tt.want == nil)
				p.SetFaults(Faults{})
				_, ok, err := s.Get(context.Background(), "k")
				is.NoErr(err)
				is.Equal(ok, tt.effect)
			})
		}
	}
}

// TestLostLeaseAnswers checks that a lease call whose response is dropped returns
// store.ErrUncertain and takes effect.
func TestLostLeaseAnswers(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p, _ := newTest()
	p.SetFaults(Faults{LoseLeaseEvery: 2})
	id, err := p.Store().Grant(ctx, time.Minute)
	is.NoErr(err)
	is.True(errors.Is(p.Store().Renew(ctx, id), store.ErrUncertain))
	is.NoErr(p.Store().Renew(ctx, id))
	is.True(errors.Is(p.Store().Revoke(ctx, id), store.ErrUncertain))
	is.True(errors.Is(p.Store().Renew(ctx, id), store.ErrLeaseNotFound)) // the revocation took effect
	is.Equal(p.Calls().LostAnswers, int64(2))
}

func TestRateLimit(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p, c := newTest()
	s := client(t, p)
	p.SetFaults(Faults{ReadsPerSecond: 3, WritesPerSecond: 2})
	accepted := func(n int, call func() error) int {
		count := 0
		for range n {
			err := call()
			is.True(err == nil || errors.Is(err, store.ErrRateLimited))
			if err == nil {
				count++
			}
		}
		return count
	}
	read := func() error { _, err := s.List(ctx, ""); return err }
	write := func() error { _, _, err := s.Commit(ctx, put("k")); return err }
	grant := func() error { _, err := s.Grant(ctx, time.Minute); return err }
	is.Equal(accepted(1, grant), 1)
	is.Equal(accepted(5, write), 1) // a lease call counts as a write
	is.Equal(accepted(5, read), 3)
	c.Advance(time.Second)
	is.Equal(accepted(5, write), 2)
	is.Equal(p.Calls().Limited, int64(4+2+3))
	is.Equal(p.Calls().Writes, int64(3)) // excludes rate-limited calls
}

// TestHangEndsWhenSwitchedOff checks that a hanging call continues when the switch is cleared and
// that the caller can cancel it before.
func TestHangEndsWhenSwitchedOff(t *testing.T) {
	is := is.New(t)
	p, _ := newTest()
	p.SetFaults(Faults{Hang: true})
	done := make(chan error)
	go func() { _, _, err := p.Store().Commit(context.Background(), put("k")); done <- err }()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, err := p.Store().Get(ctx, "k")
	is.True(errors.Is(err, store.ErrUnavailable)) // the caller's context ended
	p.SetFaults(Faults{})
	is.NoErr(<-done)
}

// TestWatchFaults checks that each fault ends an open watch with store.ErrUnavailable, and that a
// new watch from the next revision fails with store.ErrCompacted if the history was compacted.
func TestWatchFaults(t *testing.T) {
	tests := map[string]struct {
		faults Faults
		want   error // of a new watch from revision 2, after the fault
	}{
		"cut":                {Faults{CutWatchesNow: true}, nil},
		"cut with a gap":     {Faults{CutWatchesNow: true, CompactNow: true}, store.ErrCompacted},
		"outage with a gap":  {Faults{Outage: true, CompactNow: true}, store.ErrCompacted},
		"outage without one": {Faults{Outage: true}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			p, _ := newTest()
			s := client(t, p)
			ch, err := s.Watch(ctx, "k", 1)
			is.NoErr(err)
			_, _, err = s.Commit(ctx, put("k"))
			is.NoErr(err)
			is.NoErr((<-ch).Err)
			_, _, err = s.Commit(ctx, put("other"))
			is.NoErr(err)
			p.SetFaults(tt.faults)
			is.True(errors.Is((<-ch).Err, store.ErrUnavailable))
			_, open := <-ch
			is.True(!open)
			p.SetFaults(Faults{})
			ch, err = s.Watch(ctx, "", 2)
			is.NoErr(err)
			is.True(errors.Is((<-ch).Err, tt.want) || tt.want == nil)
		})
	}
}

func TestCallsCountWaitingWatches(t *testing.T) {
	is := is.New(t)
	p, _ := newTest()
	ctx, cancel := context.WithCancel(context.Background())
	ch, err := p.Store().Watch(ctx, "k", 0)
	is.NoErr(err)
	is.Equal(p.Calls().Watches, int64(1))
	is.Equal(p.Calls().WaitingWatches, int64(1))
	cancel()
	for range ch { // closed after the count is decremented
	}
	is.Equal(p.Calls().WaitingWatches, int64(0))
}
