package memory_test

import (
	"context"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/memory"
)

// model is a simple reference implementation of the store: commit copies the whole
// map.
type model struct {
	kvs      map[string]store.KV
	expires  map[store.LeaseID]time.Time
	revision int64
}

const modelTTL = 10 * time.Second

// commit applies the transaction if the compares hold, and reports whether they did.
func (m *model) commit(t store.Txn) bool {
	for _, c := range t.Compares {
		if m.kvs[c.Key].ModRevision != c.ModRevision {
			return false
		}
	}
	next := maps.Clone(m.kvs)
	changed := false
	for _, op := range t.Ops {
		if !op.Delete {
			next[op.Key] = store.KV{Key: op.Key, Value: op.Value, ModRevision: m.revision + 1, Lease: op.Lease}
			changed = true
			continue
		}
		before := len(next)
		maps.DeleteFunc(next, func(k string, _ store.KV) bool {
			return k == op.Key || op.Prefix && strings.HasPrefix(k, op.Key)
		})
		changed = changed || len(next) < before
	}
	m.kvs = next
	if changed {
		m.revision++
	}
	return true
}

// revoke deletes a lease and its keys at one revision.
func (m *model) revoke(id store.LeaseID) {
	delete(m.expires, id)
	before := len(m.kvs)
	maps.DeleteFunc(m.kvs, func(_ string, kv store.KV) bool { return kv.Lease == id })
	if len(m.kvs) < before {
		m.revision++
	}
}

func (m *model) expire(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.expires)) {
		if now.After(m.expires[id]) {
			m.revoke(id)
		}
	}
}

func (m *model) sorted() []store.KV {
	var kvs []store.KV
	for _, k := range slices.Sorted(maps.Keys(m.kvs)) {
		kvs = append(kvs, m.kvs[k])
	}
	return kvs
}

// generateTxn generates a transaction on a few keys, so that keys often overlap.
func generateTxn(t *rapid.T, m *model) store.Txn {
	key := rapid.SampledFrom([]string{"a", "ab", "b/1", "b/2", "b/"})
	leases := append([]store.LeaseID{0}, slices.Sorted(maps.Keys(m.expires))...)
	var txn store.Txn
	for range rapid.IntRange(0, 2).Draw(t, "compares") {
		k := key.Draw(t, "compared key")
		mod := rapid.SampledFrom([]int64{0, m.kvs[k].ModRevision, 1}).Draw(t, "compared revision")
		txn.Compares = append(txn.Compares, store.Compare{Key: k, ModRevision: mod})
	}
	for range rapid.IntRange(0, 3).Draw(t, "ops") {
		op := store.Op{Key: key.Draw(t, "key"), Delete: rapid.Bool().Draw(t, "delete")}
		if op.Delete {
			op.Prefix = rapid.Bool().Draw(t, "prefix")
		} else {
			op.Value = []byte(rapid.StringN(0, 3, 3).Draw(t, "value"))
			op.Lease = rapid.SampledFrom(leases).Draw(t, "lease")
		}
		txn.Ops = append(txn.Ops, op)
	}
	return txn
}

// TestStoreMatchesModel checks the store against the model with generated calls, and
// that a watch from the first revision yields the same final state.
func TestStoreMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(failer{t})
		ctx := context.Background()
		c := newClock()
		s := memory.New(c.Now)
		m := &model{kvs: map[string]store.KV{}, expires: map[store.LeaseID]time.Time{}}
		t.Repeat(map[string]func(*rapid.T){
			"commit": func(t *rapid.T) {
				txn := generateTxn(t, m)
				rev, ok, err := s.Commit(ctx, txn)
				if txn.Validate() != nil {
					is.True(err != nil)
					return
				}
				is.NoErr(err)
				is.Equal(ok, m.commit(txn))
				is.Equal(rev, m.revision)
			},
			"grant": func(*rapid.T) {
				id, err := s.Grant(ctx, modelTTL)
				is.NoErr(err)
				m.expires[id] = c.Now().Add(modelTTL)
			},
			"advance": func(t *rapid.T) {
				c.Advance(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second)
				m.expire(c.Now())
				s.Expire()
			},
			"renew or revoke": func(t *rapid.T) {
				id := store.LeaseID(rapid.IntRange(1, 5).Draw(t, "lease"))
				_, exists := m.expires[id]
				if rapid.Bool().Draw(t, "renew") {
					is.Equal(s.Renew(ctx, id) == nil, exists)
					if exists {
						m.expires[id] = c.Now().Add(modelTTL)
					}
					return
				}
				is.Equal(s.Revoke(ctx, id) == nil, exists)
				if exists {
					m.revoke(id)
				}
			},
			"": func(*rapid.T) {
				page, err := s.List(ctx, "")
				is.NoErr(err)
				is.Equal(page.KVs, m.sorted())
				is.Equal(page.Revision, m.revision)
			},
		})
		is.Equal(replay(s, m.revision), m.sorted())
	})
}

// replay builds the store's state from the events of a watch from revision 1 on.
func replay(s *memory.Store, upTo int64) []store.KV {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ch, _ := s.Watch(ctx, "", 1)
	m := &model{kvs: map[string]store.KV{}}
	for m.revision < upTo {
		b := <-ch
		m.revision = b.Revision
		for _, e := range b.Events {
			if e.Deleted {
				delete(m.kvs, e.KV.Key)
			} else {
				m.kvs[e.KV.Key] = e.KV
			}
		}
	}
	return m.sorted()
}

// failer adapts rapid.T to the assertions of package is.
type failer struct{ t *rapid.T }

func (f failer) Fail()    { f.t.Fail() }
func (f failer) FailNow() { f.t.FailNow() }
