package platform

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/store"
)

// Faults are the platform's fault switches; the zero value is a healthy one.
type Faults struct {
	// Outage refuses every call and ends every watch.
	Outage bool `json:"outage"`
	// DelayMS delays every call.
	DelayMS int `json:"delay_ms"`
	// LoseEvery loses the answer of each n-th write after it took effect.
	LoseEvery int `json:"lose_every"`
	// CompactNow forgets the watch history, so that late watches have a gap.
	CompactNow bool `json:"compact_now"`
	// VMListLagMS is how far the VM list lags.
	VMListLagMS int `json:"vm_list_lag_ms"`
}

// Calls counts the calls the key-value service has had.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Leases  int64 `json:"leases"`
}

// faultyStore wraps a store with fault switches and call counts.
type faultyStore struct {
	store.Store

	mu     sync.Mutex
	faults Faults
	count  Calls
	outage context.Context // ends when an outage begins
	begin  context.CancelFunc
}

func newFaultyStore(s store.Store) *faultyStore {
	f := &faultyStore{Store: s}
	f.outage, f.begin = context.WithCancel(context.Background())
	return f
}

func (f *faultyStore) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if faults.Outage {
		f.begin()
	} else if f.outage.Err() != nil {
		f.outage, f.begin = context.WithCancel(context.Background())
	}
	f.faults = faults
}

func (f *faultyStore) calls() Calls {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// enter counts a call, delays it and refuses it during an outage.
func (f *faultyStore) enter(ctx context.Context, count func(*Calls)) (Faults, error) {
	f.mu.Lock()
	count(&f.count)
	faults := f.faults
	f.mu.Unlock()
	if faults.Outage {
		return faults, store.ErrUnavailable
	}
	select {
	case <-time.After(time.Duration(faults.DelayMS) * time.Millisecond):
		return faults, nil
	case <-ctx.Done():
		return faults, ctx.Err()
	}
}

func countRead(c *Calls)  { c.Reads++ }
func countWrite(c *Calls) { c.Writes++ }
func countWatch(c *Calls) { c.Watches++ }
func countLease(c *Calls) { c.Leases++ }

// Get implements store.Store.
func (f *faultyStore) Get(ctx context.Context, key string) (store.KV, bool, error) {
	if _, err := f.enter(ctx, countRead); err != nil {
		return store.KV{}, false, err
	}
	return f.Store.Get(ctx, key)
}

// List implements store.Store.
func (f *faultyStore) List(ctx context.Context, prefix string) (store.Page, error) {
	if _, err := f.enter(ctx, countRead); err != nil {
		return store.Page{}, err
	}
	return f.Store.List(ctx, prefix)
}

// Commit implements store.Store.
func (f *faultyStore) Commit(ctx context.Context, t store.Txn) (int64, bool, error) {
	faults, err := f.enter(ctx, countWrite)
	if err != nil {
		return 0, false, err
	}
	rev, ok, err := f.Store.Commit(ctx, t)
	if err == nil && faults.LoseEvery > 0 && f.calls().Writes%int64(faults.LoseEvery) == 0 {
		return 0, false, store.ErrUncertain
	}
	return rev, ok, err
}

// Grant implements store.Store.
func (f *faultyStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if _, err := f.enter(ctx, countLease); err != nil {
		return 0, err
	}
	return f.Store.Grant(ctx, ttl)
}

// Renew implements store.Store.
func (f *faultyStore) Renew(ctx context.Context, id store.LeaseID) error {
	if _, err := f.enter(ctx, countLease); err != nil {
		return err
	}
	return f.Store.Renew(ctx, id)
}

// Revoke implements store.Store.
func (f *faultyStore) Revoke(ctx context.Context, id store.LeaseID) error {
	if _, err := f.enter(ctx, countLease); err != nil {
		return err
	}
	return f.Store.Revoke(ctx, id)
}

// Watch implements store.Store. An outage ends the watch.
func (f *faultyStore) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Batch, error) {
	if _, err := f.enter(ctx, countWatch); err != nil {
		return nil, err
	}
	f.mu.Lock()
	outage := f.outage
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(outage, cancel)
	return f.Store.Watch(ctx, prefix, from)
}
