// Package memory is a store.Store in memory with the revisions, leases and
// watches of etcd v3. The laboratory's platform serves it; tests use it as a
// fake.
package memory

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/store"
)

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type revisionEvent struct {
	revision int64
	event    store.Event
}

// Store is a store.Store. It is safe for concurrent use.
type Store struct {
	now func() time.Time

	mu        sync.Mutex
	changed   *sync.Cond
	revision  int64
	compacted int64
	kvs       map[string]store.KV
	leases    map[store.LeaseID]lease
	nextLease store.LeaseID
	history   []revisionEvent
}

var _ store.Store = (*Store)(nil)

// New returns an empty store whose leases follow the given clock.
func New(now func() time.Time) *Store {
	s := &Store{
		now:    now,
		kvs:    make(map[string]store.KV),
		leases: make(map[store.LeaseID]lease),
	}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Get implements store.Store.
func (s *Store) Get(_ context.Context, key string) (store.KV, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	kv, ok := s.kvs[key]
	return kv, ok, nil
}

// List implements store.Store.
func (s *Store) List(_ context.Context, prefix string) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	page := store.Page{Revision: s.revision}
	for key, kv := range s.kvs {
		if strings.HasPrefix(key, prefix) {
			page.KVs = append(page.KVs, kv)
		}
	}
	sort.Slice(page.KVs, func(i, j int) bool { return page.KVs[i].Key < page.KVs[j].Key })
	return page, nil
}

// Commit implements store.Store.
func (s *Store) Commit(_ context.Context, t store.Txn) (int64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, c := range t.Compares {
		if s.kvs[c.Key].ModRevision != c.ModRevision {
			return s.revision, false, nil
		}
	}
	for _, op := range t.Ops {
		if _, ok := s.leases[op.Lease]; op.Lease != 0 && !ok {
			return s.revision, false, store.ErrLeaseNotFound
		}
	}
	if len(t.Ops) > 0 {
		s.revision++
	}
	for _, op := range t.Ops {
		s.apply(op)
	}
	s.changed.Broadcast()
	return s.revision, true, nil
}

func (s *Store) apply(op store.Op) {
	switch {
	case !op.Delete:
		kv := store.KV{Key: op.Key, Value: op.Value, ModRevision: s.revision, Lease: op.Lease}
		s.kvs[op.Key] = kv
		s.record(store.Event{KV: kv})
	case op.Prefix:
		for key := range s.kvs {
			if strings.HasPrefix(key, op.Key) {
				s.remove(key)
			}
		}
	default:
		s.remove(op.Key)
	}
}

func (s *Store) remove(key string) {
	if _, ok := s.kvs[key]; !ok {
		return
	}
	delete(s.kvs, key)
	s.record(store.Event{KV: store.KV{Key: key, ModRevision: s.revision}, Deleted: true})
}

func (s *Store) record(e store.Event) {
	s.history = append(s.history, revisionEvent{s.revision, e})
}

// Grant implements store.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = lease{ttl: ttl, expires: s.now().Add(ttl)}
	return s.nextLease, nil
}

// Renew implements store.Store.
func (s *Store) Renew(_ context.Context, id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return store.ErrLeaseNotFound
	}
	l.expires = s.now().Add(l.ttl)
	s.leases[id] = l
	return nil
}

// Revoke implements store.Store.
func (s *Store) Revoke(_ context.Context, id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return store.ErrLeaseNotFound
	}
	s.drop(id)
	return nil
}

// Expire deletes the keys of lapsed leases and wakes the watches. Every call
// does so first; a server calls it on a timer as well.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.drop(id)
		}
	}
}

func (s *Store) drop(id store.LeaseID) {
	delete(s.leases, id)
	s.revision++
	for key, kv := range s.kvs {
		if kv.Lease == id {
			s.remove(key)
		}
	}
	s.changed.Broadcast()
}

// Compact forgets the history up to the current revision, so that watches
// from an older one end with store.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
	s.changed.Broadcast()
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Batch, error) {
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

func (s *Store) follow(ctx context.Context, prefix string, from int64, out chan<- store.Batch) {
	next := from
	if next == 0 {
		s.mu.Lock()
		next = s.revision + 1
		s.mu.Unlock()
	}
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

// wait blocks until a revision from next on exists, and returns its events
// under prefix; the batch may be empty.
func (s *Store) wait(ctx context.Context, prefix string, next int64) store.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.revision < next && ctx.Err() == nil {
		s.changed.Wait()
	}
	if next <= s.compacted {
		return store.Batch{Err: store.ErrCompacted}
	}
	b := store.Batch{Revision: s.revision}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision >= next })
	for _, h := range s.history[first:] {
		if strings.HasPrefix(h.event.KV.Key, prefix) {
			b.Events = append(b.Events, h.event)
		}
	}
	return b
}
