package platform

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

// Watch implements store.Store. An outage and Faults.CutWatchesNow end the watch.
func (f *faultyStore) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	if _, err := f.begin(ctx, kindWatch); err != nil {
		return nil, err
	}
	f.mu.Lock()
	watchCtx := f.watchCtx
	f.mu.Unlock()
	inner, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(watchCtx, cancel)
	batches, err := f.Store.Watch(inner, prefix, from)
	if err != nil {
		cancel()
		return nil, err
	}
	f.updateCounts(func(c *Calls) { c.WaitingWatches++ })
	out := make(chan store.WatchBatch)
	go func() {
		defer close(out)
		defer f.updateCounts(func(c *Calls) { c.WaitingWatches-- })
		defer cancel()
		defer stop()
		f.forward(ctx, batches, out)
	}()
	return out, nil
}

// forward sends the batches to out until they end, subject to hangs, delays and outages. A watch
// that was cut ends with store.ErrUnavailable.
func (f *faultyStore) forward(ctx context.Context, batches <-chan store.WatchBatch, out chan<- store.WatchBatch) {
	for b := range batches {
		if err := f.wait(ctx); err != nil {
			b = store.WatchBatch{Err: err}
		}
		f.updateCounts(func(c *Calls) { c.Batches++ })
		select {
		case out <- b:
		case <-ctx.Done():
			return
		}
		if b.Err != nil {
			return
		}
	}
	select {
	case out <- store.WatchBatch{Err: errors.Wrap(store.ErrUnavailable, "watch cut")}:
	case <-ctx.Done():
	}
}
