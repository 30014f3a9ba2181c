// Package memory implements an in-memory store.Store with the revisions, leases and
// watches of etcd v3. The simulated platform in lab/platform serves it over HTTP;
// tests use it as a fake.
package memory

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/store"
)

// Store is an in-memory store.Store. It is safe for concurrent use. Callers must not
// modify the values that it returns.
type Store struct {
	now func() time.Time

	mu       sync.Mutex
	changed  *sync.Cond // signals a new revision, a compaction or the end of a watch
	revision int64
	kvs      map[string]store.KV
	leases   leaseTable
	history  history
	restores int // counts the calls of Restore
}

var _ store.Store = (*Store)(nil)

// New returns an empty store whose leases expire by the given clock.
func New(now func() time.Time) *Store {
	s := &Store{
		now:     now,
		kvs:     make(map[string]store.KV),
		leases:  newLeaseTable(),
		history: history{maxEvents: DefaultHistoryEvents, maxBytes: DefaultHistoryBytes},
	}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Revision returns the store's current revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.revision
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
func (s *Store) List(_ context.Context, prefix string) (store.ListResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	page := store.ListResult{Revision: s.revision}
	for _, key := range s.keys(prefix) {
		page.KVs = append(page.KVs, s.kvs[key])
	}
	return page, nil
}

// keys returns the keys that start with prefix, in order.
func (s *Store) keys(prefix string) []string {
	var keys []string
	for key := range s.kvs {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Commit implements store.Store. As in etcd, a transaction that changes nothing
// doesn't increment the revision.
func (s *Store) Commit(_ context.Context, t store.Txn) (int64, bool, error) {
	if err := t.Validate(); err != nil {
		return 0, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, c := range t.Compares {
		if s.kvs[c.Key].ModRevision != c.ModRevision {
			return s.revision, false, nil
		}
	}
	for _, op := range t.Ops {
		if op.Lease != 0 && !s.leases.has(op.Lease) {
			return s.revision, false, store.ErrLeaseNotFound
		}
	}
	s.update(func(revision int64) {
		for _, op := range t.Ops {
			s.apply(op, revision)
		}
	})
	return s.revision, true, nil
}

// update runs f with the next revision. If f has recorded an event, that revision
// becomes the current one.
func (s *Store) update(f func(revision int64)) {
	next := s.revision + 1
	f(next)
	if s.history.newest != next {
		return
	}
	s.revision = next
	s.history.trim()
	s.changed.Broadcast()
}

func (s *Store) apply(op store.Op, revision int64) {
	switch {
	case !op.Delete:
		s.put(op, revision)
	case op.Prefix:
		for _, key := range s.keys(op.Key) {
			s.remove(key, revision)
		}
	default:
		s.remove(op.Key, revision)
	}
}

func (s *Store) put(op store.Op, revision int64) {
	kv := store.KV{Key: op.Key, Value: bytes.Clone(op.Value), ModRevision: revision, Lease: op.Lease}
	s.leases.detach(s.kvs[op.Key].Lease, op.Key)
	s.leases.attach(op.Lease, op.Key)
	s.kvs[op.Key] = kv
	s.history.add(revision, store.Event{KV: kv})
}

func (s *Store) remove(key string, revision int64) {
	kv, ok := s.kvs[key]
	if !ok {
		return
	}
	s.leases.detach(kv.Lease, key)
	delete(s.kvs, key)
	s.history.add(revision, store.Event{KV: store.KV{Key: key, ModRevision: revision}, Deleted: true})
}

// Grant implements store.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases.grant(ttl, s.now()), nil
}

// Renew implements store.Store.
func (s *Store) Renew(_ context.Context, id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.leases.renew(id, s.now())
}

// Revoke implements store.Store.
func (s *Store) Revoke(_ context.Context, id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if !s.leases.has(id) {
		return store.ErrLeaseNotFound
	}
	s.deleteLease(id)
	return nil
}

// Expire deletes the expired leases with their keys and wakes the watches. Every call
// that depends on leases does so first; a server also calls Expire periodically, so
// that watches see the deletions without a call.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

func (s *Store) expire() {
	for _, id := range s.leases.expired(s.now()) {
		s.deleteLease(id)
	}
}

// deleteLease deletes a lease and its keys at one revision.
func (s *Store) deleteLease(id store.LeaseID) {
	keys := s.leases.remove(id)
	s.update(func(revision int64) {
		for _, key := range keys {
			s.remove(key, revision)
		}
	})
}

// Compact drops the history up to and including the current revision, so that a watch
// from one of these revisions ends with store.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.compact(s.revision)
	s.changed.Broadcast()
}
