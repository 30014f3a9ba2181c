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

// faultyStore wraps an in-memory store with fault switches and call counts.
type faultyStore struct {
	*memory.Store
	now func() time.Time

	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed and replaced when the switches change
	counts  Calls
	reads   *rate.Limiter
	writes  *rate.Limiter
	// watchCtx ends the open watches when cancelWatches is called, which is followed by a new pair.
	watchCtx      context.Context
	cancelWatches context.CancelFunc
}

var _ store.Store = (*faultyStore)(nil)

func newFaultyStore(s *memory.Store, now func() time.Time) *faultyStore {
	f := &faultyStore{
		Store: s, now: now, changed: make(chan struct{}),
		reads: newLimiter(0), writes: newLimiter(0),
	}
	f.watchCtx, f.cancelWatches = context.WithCancel(context.Background())
	return f
}

// newLimiter returns a limiter with a burst of one second's calls; 0 is no limit.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// setFaults replaces the fault switches and applies those that take effect at once.
func (f *faultyStore) setFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if faults.Outage || faults.CutWatchesNow {
		f.cancelWatches()
		f.watchCtx, f.cancelWatches = context.WithCancel(context.Background())
	}
	if faults.ReadsPerSecond != f.faults.ReadsPerSecond {
		f.reads = newLimiter(faults.ReadsPerSecond)
	}
	if faults.WritesPerSecond != f.faults.WritesPerSecond {
		f.writes = newLimiter(faults.WritesPerSecond)
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
	return f.counts
}

// updateCounts calls change with the counts locked.
func (f *faultyStore) updateCounts(change func(*Calls)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.counts)
}

// state returns the fault switches and a channel that is closed when they change.
func (f *faultyStore) state() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults, f.changed
}

// checkRate counts a call against its rate limit. nth is the call's number among those of its
// kind; ok is false if the call exceeds the limit.
func (f *faultyStore) checkRate(k callKind) (nth int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := f.reads
	if k == kindWrite || k == kindLease {
		limit = f.writes
	}
	if !limit.AllowN(f.now(), 1) {
		f.counts.Limited++
		return 0, false
	}
	count := f.counts.counter(k)
	*count++
	return *count, true
}

// begin counts a call and applies the faults that precede its effect. It returns
// store.ErrRateLimited over the rate limit and store.ErrUnavailable in an outage; it waits while
// the service hangs or is slow. nth is the call's number among those of its kind.
func (f *faultyStore) begin(ctx context.Context, k callKind) (nth int64, err error) {
	nth, ok := f.checkRate(k)
	if !ok {
		return 0, store.ErrRateLimited
	}
	if err := f.wait(ctx); err != nil {
		return nth, err
	}
	return nth, nil
}

// wait waits while the service hangs and for its delay. It returns store.ErrUnavailable in an
// outage or when ctx ends.
func (f *faultyStore) wait(ctx context.Context) error {
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

// unavailable returns store.ErrUnavailable with the reason why ctx ended.
func unavailable(ctx context.Context) error {
	return errors.Wrapf(store.ErrUnavailable, "%v", ctx.Err())
}

// finish returns the error of the nth call of a kind, given the call's own error: err, or
// store.ErrUncertain if the response of every n-th successful call is to be dropped.
func (f *faultyStore) finish(nth int64, every int, err error) error {
	if err != nil || every == 0 || nth%int64(every) != 0 {
		return err
	}
	f.updateCounts(func(c *Calls) { c.LostAnswers++ })
	return store.ErrUncertain
}

// Get implements store.Store.
func (f *faultyStore) Get(ctx context.Context, key string) (store.KV, bool, error) {
	if _, err := f.begin(ctx, kindRead); err != nil {
		return store.KV{}, false, err
	}
	return f.Store.Get(ctx, key)
}

// List implements store.Store.
func (f *faultyStore) List(ctx context.Context, prefix string) (store.ListResult, error) {
	if _, err := f.begin(ctx, kindRead); err != nil {
		return store.ListResult{}, err
	}
	return f.Store.List(ctx, prefix)
}

// Commit implements store.Store.
func (f *faultyStore) Commit(ctx context.Context, t store.Txn) (int64, bool, error) {
	nth, err := f.begin(ctx, kindWrite)
	if err != nil {
		return 0, false, err
	}
	rev, ok, err := f.Store.Commit(ctx, t)
	if err := f.finish(nth, f.currentFaults().LoseEvery, err); err != nil {
		return 0, false, err
	}
	return rev, ok, nil
}

// Grant implements store.Store.
func (f *faultyStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	nth, err := f.begin(ctx, kindLease)
	if err != nil {
		return 0, err
	}
	id, err := f.Store.Grant(ctx, ttl)
	if err := f.finish(nth, f.currentFaults().LoseLeaseEvery, err); err != nil {
		return 0, err
	}
	return id, nil
}

// Renew implements store.Store.
func (f *faultyStore) Renew(ctx context.Context, id store.LeaseID) error {
	nth, err := f.begin(ctx, kindLease)
	if err != nil {
		return err
	}
	return f.finish(nth, f.currentFaults().LoseLeaseEvery, f.Store.Renew(ctx, id))
}

// Revoke implements store.Store.
func (f *faultyStore) Revoke(ctx context.Context, id store.LeaseID) error {
	nth, err := f.begin(ctx, kindLease)
	if err != nil {
		return err
	}
	return f.finish(nth, f.currentFaults().LoseLeaseEvery, f.Store.Revoke(ctx, id))
}

func (f *faultyStore) currentFaults() Faults {
	faults, _ := f.state()
	return faults
}
