package storetest

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

func testGet(_ *testing.T, h *harness) {
	_, ok, err := h.Store.Get(h.ctx, "a")
	h.NoErr(err)
	h.True(!ok) // no such key yet
	rev := h.put("a", "1")
	h.put("ab", "2")
	kv, ok, err := h.Store.Get(h.ctx, "a")
	h.NoErr(err)
	h.True(ok)
	h.Equal(kv, store.KV{Key: "a", Value: []byte("1"), ModRevision: rev})
}

func testList(_ *testing.T, h *harness) {
	for _, key := range []string{"b/2", "a", "b/1", "c", "b/\xff", "b0"} {
		h.put(key, "v")
	}
	tests := map[string][]string{
		"b/":  {"b/1", "b/2", "b/\xff"},
		"b":   {"b/1", "b/2", "b/\xff", "b0"},
		"":    {"a", "b/1", "b/2", "b/\xff", "b0", "c"},
		"zzz": nil,
	}
	for prefix, want := range tests {
		page := h.list(prefix)
		var keys []string
		for _, kv := range page.KVs {
			keys = append(keys, kv.Key)
		}
		h.Equal(keys, want)
		h.Equal(page.Revision, h.list("").Revision) // the revision of the store, not of the keys
	}
}

func testCompare(_ *testing.T, h *harness) {
	write := func(key string, mod int64) bool {
		_, ok := h.commit(store.Txn{
			Compares: []store.Compare{{Key: key, ModRevision: mod}},
			Ops:      []store.Op{{Key: key, Value: []byte("x")}},
		})
		return ok
	}
	h.True(write("k", 0))  // create
	h.True(!write("k", 0)) // exists
	first := h.list("k").KVs[0].ModRevision
	h.True(write("k", first))
	h.True(!write("k", first)) // changed since
	h.delete(store.Op{Key: "k"})
	h.True(!write("k", first))
	h.True(write("k", 0)) // create again

	_, ok := h.commit(store.Txn{
		Compares: []store.Compare{{Key: "none", ModRevision: 0}, {Key: "k", ModRevision: 0}},
		Ops:      []store.Op{{Key: "none", Value: []byte("x")}},
	})
	h.True(!ok) // every compare must hold
	h.True(!h.has("none"))
}

func testRevision(_ *testing.T, h *harness) {
	rev := h.put("k", "1")
	h.Equal(h.put("k", "1"), rev+1) // a put is a change, also of the same value
	rev++
	h.Equal(h.delete(store.Op{Key: "none"}), rev)
	h.Equal(h.delete(store.Op{Key: "none/", Prefix: true}), rev)
	got, ok := h.commit(store.Txn{Compares: []store.Compare{{Key: "k", ModRevision: rev}}})
	h.True(ok)
	h.Equal(got, rev)
	got, ok = h.commit(store.Txn{Compares: []store.Compare{{Key: "k", ModRevision: 0}}})
	h.True(!ok)
	h.Equal(got, rev) // a failed compare returns the revision too
	h.Equal(h.delete(store.Op{Key: "k"}), rev+1)
}

func testTxnAtomic(_ *testing.T, h *harness) {
	h.put("old/1", "v")
	h.put("old/2", "v")
	rev, ok := h.commit(store.Txn{Ops: []store.Op{
		{Key: "new/1", Value: []byte("1")},
		{Key: "old/", Delete: true, Prefix: true},
		{Key: "new/2", Value: []byte("2")},
	}})
	h.True(ok)
	h.Equal(len(h.list("old/").KVs), 0)
	for _, kv := range h.list("new/").KVs {
		h.Equal(kv.ModRevision, rev)
	}
}

// testInvalidTxns checks that invalid transactions are rejected without effect, and
// that the largest valid value and repeated deletes are accepted.
func testInvalidTxns(t *testing.T, h *harness) {
	rev := h.put("kept", "v")
	many := make([]store.Op, store.MaxTxnOps+1)
	for i := range many {
		many[i] = store.Op{Key: fmt.Sprint("many/", i)}
	}
	put := store.Op{Key: "kept", Value: []byte("lost")}
	tests := map[string]struct {
		ops  []store.Op
		want error
	}{
		"key put twice":             {[]store.Op{put, put}, store.ErrDuplicateKey},
		"put and deleted":           {[]store.Op{put, {Key: "kept", Delete: true}}, store.ErrDuplicateKey},
		"put and deleted by prefix": {[]store.Op{{Key: "ke", Delete: true, Prefix: true}, put}, store.ErrDuplicateKey},
		"value over the limit":      {[]store.Op{{Key: "large", Value: make([]byte, store.MaxValueBytes+1)}}, store.ErrValueTooLarge},
		"too many operations":       {many, store.ErrTooManyOps},
	}
	for name, tt := range tests {
		_, ok, err := h.Store.Commit(h.ctx, store.Txn{Ops: tt.ops})
		if ok || !errors.Is(err, tt.want) {
			t.Errorf("%s: got %v", name, err)
		}
	}
	h.Equal(h.list("").Revision, rev) // nothing was written
	h.put("largest", string(make([]byte, store.MaxValueBytes)))
	h.delete(store.Op{Key: "twice"})
	h.commit(store.Txn{Ops: []store.Op{{Key: "kept", Delete: true}, {Key: "kept", Delete: true}}})
	h.True(!h.has("kept"))
}

func testValueCopied(_ *testing.T, h *harness) {
	value := []byte("before")
	h.commit(store.Txn{Ops: []store.Op{{Key: "k", Value: value}}})
	copy(value, "after!")
	kv, _, err := h.Store.Get(h.ctx, "k")
	h.NoErr(err)
	h.True(bytes.Equal(kv.Value, []byte("before")))
}
