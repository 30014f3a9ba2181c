package memory

import (
	"maps"

	"github.com/knapweedgw/knapweedgw/store"
)

// Snapshot is a copy of a Store.
type Snapshot struct {
	revision int64
	kvs      map[string]store.KV
	leases   map[store.LeaseID]lease
	last     store.LeaseID
}

// Snapshot returns a copy of the store.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	out := &Snapshot{revision: s.revision, kvs: maps.Clone(s.kvs), leases: make(map[store.LeaseID]lease), last: s.leases.last}
	for id, l := range s.leases.leases {
		c := *l
		c.keys = maps.Clone(l.keys)
		out.leases[id] = c
	}
	return out
}

// Restore makes the store what it was at the snapshot, as etcd is after a restore: what was written since is gone,
// revisions and the IDs of leases are given out again, open watches end, and the history is empty. The leases of
// the snapshot have their whole TTL again.
func (s *Store) Restore(c *Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.kvs = c.revision, maps.Clone(c.kvs)
	s.leases = newLeaseTable()
	s.leases.last = c.last
	now := s.now()
	for id, l := range c.leases {
		l.expires, l.keys = now.Add(l.ttl), maps.Clone(l.keys)
		s.leases.leases[id] = &l
	}
	s.history = history{maxEvents: s.history.maxEvents, maxBytes: s.history.maxBytes, newest: c.revision, compacted: c.revision}
	s.restores++
	s.changed.Broadcast()
}

func (s *Store) restoreCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restores
}
