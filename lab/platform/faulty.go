package platform

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/memory"
)

// faultyStore wraps a store with fault switches and call counts.
type faultyStore struct {
	*memory.Store
	now func() time.Time

	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed and replaced when the switches change
	count   Calls
	reads   *rate.Limiter
	writes  *rate.Limiter
	cut     context.Context // ends the watches opened under it
	cutNow  context.CancelFunc
}

var _ store.Store = (*faultyStore)(nil)

func newFaultyStore(s *memory.Store, now func() time.Time) *faultyStore {
	f := &faultyStore{
		Store: s, now: now, changed: make(chan struct{}),
		reads: limiter(0), writes: limiter(0),
	}
	f.cut, f.cutNow = context.WithCancel(context.Background())
	return f
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

func (f *faultyStore) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if faults.Outage || faults.CutWatchesNow {
		f.cutNow()
		f.cut, f.cutNow = context.WithCancel(context.Background())
	}
	if faults.ReadsPerSecond != f.faults.ReadsPerSecond {
		f.reads = limiter(faults.ReadsPerSecond)
	}
	if faults.WritesPerSecond != f.faults.WritesPerSecond {
		f.writes = limiter(faults.WritesPerSecond)
	}
	f.faults = faults
	close(f.changed)
	f.changed = make(chan struct{})
	if faults.CompactNow {
		f.Compact()
	}
}

func (f *faultyStore) calls() Calls {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// add changes the counts.
func (f *faultyStore) add(change func(*Calls)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.count)
}

// state returns the switches, and a channel that is closed when they change.
func (f *faultyStore) state() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults, f.changed
}

// admit counts a call and takes it from its rate limit. nth is its number
// among the calls of its kind.
func (f *faultyStore) admit(k kind) (nth int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := f.reads
	if k == kindWrite || k == kindLease {
		limit = f.writes
	}
	if !limit.AllowN(f.now(), 1) {
		f.count.Limited++
		return 0, false
	}
	count := f.count.of(k)
	*count++
	return *count, true
}

// enter lets a call in: refused in an outage or over the rate limit, delayed,
// or held while the service hangs.
func (f *faultyStore) enter(ctx context.Context, k kind) (nth int64, err error) {
	nth, ok := f.admit(k)
	if !ok {
		return 0, store.ErrRateLimited
	}
	if err := f.pass(ctx); err != nil {
		return nth, err
	}
	return nth, nil
}

// pass waits as long as the switches say.
func (f *faultyStore) pass(ctx context.Context) error {
	faults, changed := f.state()
	for faults.Hang && !faults.Outage {
		select {
		case <-changed:
		case <-ctx.Done():
			return unavailable(ctx)
		}
		faults, changed = f.state()
	}
	if faults.Outage {
		return store.ErrUnavailable
	}
	if faults.DelayMS == 0 {
		return nil
	}
	select {
	case <-time.After(time.Duration(faults.DelayMS) * time.Millisecond):
		return nil
	case <-ctx.Done():
		return unavailable(ctx)
	}
}

func unavailable(ctx context.Context) error {
	return errors.Wrapf(store.ErrUnavailable, "%v", ctx.Err())
}

// leave returns err, or ErrUncertain if the call's answer is to be lost.
func (f *faultyStore) leave(nth int64, every int, err error) error {
	if err != nil || every == 0 || nth%int64(every) != 0 {
		return err
	}
	f.add(func(c *Calls) { c.LostAnswers++ })
	return store.ErrUncertain
}

// Get implements store.Store.
func (f *faultyStore) Get(ctx context.Context, key string) (store.KV, bool, error) {
	if _, err := f.enter(ctx, kindRead); err != nil {
		return store.KV{}, false, err
	}
	return f.Store.Get(ctx, key)
}

// List implements store.Store.
func (f *faultyStore) List(ctx context.Context, prefix string) (store.ListResult, error) {
	if _, err := f.enter(ctx, kindRead); err != nil {
		return store.ListResult{}, err
	}
	return f.Store.List(ctx, prefix)
}

// Commit implements store.Store.
func (f *faultyStore) Commit(ctx context.Context, t store.Txn) (int64, bool, error) {
	nth, err := f.enter(ctx, kindWrite)
	if err != nil {
		return 0, false, err
	}
	rev, ok, err := f.Store.Commit(ctx, t)
	if err := f.leave(nth, f.current().LoseEvery, err); err != nil {
		return 0, false, err
	}
	return rev, ok, nil
}

// Grant implements store.Store.
func (f *faultyStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	nth, err := f.enter(ctx, kindLease)
	if err != nil {
		return 0, err
	}
	id, err := f.Store.Grant(ctx, ttl)
	if err := f.leave(nth, f.current().LoseLeaseEvery, err); err != nil {
		return 0, err
	}
	return id, nil
}

// Renew implements store.Store.
func (f *faultyStore) Renew(ctx context.Context, id store.LeaseID) error {
	nth, err := f.enter(ctx, kindLease)
	if err != nil {
		return err
	}
	return f.leave(nth, f.current().LoseLeaseEvery, f.Store.Renew(ctx, id))
}

// Revoke implements store.Store.
func (f *faultyStore) Revoke(ctx context.Context, id store.LeaseID) error {
	nth, err := f.enter(ctx, kindLease)
	if err != nil {
		return err
	}
	return f.leave(nth, f.current().LoseLeaseEvery, f.Store.Revoke(ctx, id))
}

func (f *faultyStore) current() Faults {
	faults, _ := f.state()
	return faults
}
