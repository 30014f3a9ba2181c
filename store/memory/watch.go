package memory

import (
	"context"

	"github.com/knapweedgw/knapweedgw/store"
)

// Watch implements store.Store. A watch has no event buffer: it reads from the
// history, so that a slow receiver delays neither writes nor other watches. It ends
// with store.ErrCompacted once the history no longer holds its next revision.
func (s *Store) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	if from == 0 {
		from = s.Revision() + 1
	}
	restores := s.restoreCount()
	out := make(chan store.WatchBatch)
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	go func() {
		defer close(out)
		defer stop()
		s.sendBatches(ctx, prefix, from, restores, out)
	}()
	return out, nil
}

// sendBatches sends the events from revision next on until ctx ends or a batch has an
// error.
func (s *Store) sendBatches(ctx context.Context, prefix string, next int64, restores int, out chan<- store.WatchBatch) {
	for {
		b := s.waitForEvents(ctx, prefix, next, restores)
		if ctx.Err() != nil {
			return
		}
		select {
		case out <- b:
		case <-ctx.Done():
			return
		}
		if b.Err != nil {
			return
		}
		next = b.Revision + 1
	}
}

// waitForEvents blocks until there is an event under prefix at revision next or later,
// next is no longer in the history, the store is restored or ctx ends.
func (s *Store) waitForEvents(ctx context.Context, prefix string, next int64, restores int) store.WatchBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ctx.Err() == nil {
		if s.restores != restores {
			return store.WatchBatch{Err: store.ErrUnavailable}
		}
		if next <= s.history.compacted {
			return store.WatchBatch{Err: store.ErrCompacted, Revision: s.history.compacted + 1}
		}
		if events := s.history.since(next, prefix); len(events) > 0 {
			return store.WatchBatch{Events: events, Revision: s.revision}
		}
		next = max(next, s.revision+1)
		s.changed.Wait()
	}
	return store.WatchBatch{}
}
