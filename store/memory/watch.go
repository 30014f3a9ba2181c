package memory

import (
	"context"

	"github.com/knapweedgw/knapweedgw/store"
)

// Watch implements store.Store. A watch holds no events of its own: it reads
// them from the history, so that a slow one delays nobody and ends with
// store.ErrCompacted when the history has gone past it.
func (s *Store) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Batch, error) {
	if from == 0 {
		from = s.Revision() + 1
	}
	out := make(chan store.Batch)
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	go func() {
		defer close(out)
		defer stop()
		s.follow(ctx, prefix, from, out)
	}()
	return out, nil
}

func (s *Store) follow(ctx context.Context, prefix string, next int64, out chan<- store.Batch) {
	for {
		b := s.wait(ctx, prefix, next)
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

// wait blocks until there is an event under prefix at revision next or later,
// or next is no longer in the history.
func (s *Store) wait(ctx context.Context, prefix string, next int64) store.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ctx.Err() == nil {
		if next <= s.history.compacted {
			return store.Batch{Err: store.ErrCompacted, Revision: s.history.compacted + 1}
		}
		if events := s.history.since(next, prefix); len(events) > 0 {
			return store.Batch{Events: events, Revision: s.revision}
		}
		next = max(next, s.revision+1)
		s.changed.Wait()
	}
	return store.Batch{}
}
