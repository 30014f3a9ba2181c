package memory

import (
	"maps"
	"slices"
	"time"

	"github.com/knapweedgw/knapweedgw/store"
)

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// leaseTable holds the leases and the keys attached to each. earliest is a lower bound
// of the first expiry, so that most calls need no scan of the leases.
type leaseTable struct {
	leases   map[store.LeaseID]*lease
	last     store.LeaseID
	earliest time.Time
}

func newLeaseTable() leaseTable {
	return leaseTable{leases: make(map[store.LeaseID]*lease)}
}

func (t *leaseTable) has(id store.LeaseID) bool { return t.leases[id] != nil }

func (t *leaseTable) grant(ttl time.Duration, now time.Time) store.LeaseID {
	t.last++
	l := &lease{ttl: ttl, expires: now.Add(ttl), keys: make(map[string]bool)}
	if len(t.leases) == 0 || l.expires.Before(t.earliest) {
		t.earliest = l.expires
	}
	t.leases[t.last] = l
	return t.last
}

func (t *leaseTable) renew(id store.LeaseID, now time.Time) error {
	l, ok := t.leases[id]
	if !ok {
		return store.ErrLeaseNotFound
	}
	l.expires = now.Add(l.ttl)
	return nil
}

// expired returns the leases that expired before now, in the order of their grants.
func (t *leaseTable) expired(now time.Time) []store.LeaseID {
	if len(t.leases) == 0 || !now.After(t.earliest) {
		return nil
	}
	var ids []store.LeaseID
	t.earliest = time.Time{}
	for id, l := range t.leases {
		if now.After(l.expires) {
			ids = append(ids, id)
		} else if t.earliest.IsZero() || l.expires.Before(t.earliest) {
			t.earliest = l.expires
		}
	}
	slices.Sort(ids)
	return ids
}

// remove deletes a lease and returns its keys, in order.
func (t *leaseTable) remove(id store.LeaseID) []string {
	keys := slices.Sorted(maps.Keys(t.leases[id].keys))
	delete(t.leases, id)
	return keys
}

func (t *leaseTable) attach(id store.LeaseID, key string) {
	if l, ok := t.leases[id]; ok {
		l.keys[key] = true
	}
}

func (t *leaseTable) detach(id store.LeaseID, key string) {
	if l, ok := t.leases[id]; ok {
		delete(l.keys, key)
	}
}
