package storetest

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

const ttl = 10 * time.Second

func testLeaseExpiry(_ *testing.T, h *harness) {
	id := h.grant(ttl)
	other := h.grant(10 * ttl)
	h.putLeased("leased", "v", id)
	h.putLeased("other", "v", other)
	h.Advance(ttl - time.Second)
	h.NoErr(h.Store.Renew(h.ctx, id))
	h.Advance(ttl - time.Second)
	h.True(h.has("leased")) // renewed in time
	h.Advance(2 * time.Second)
	h.True(!h.has("leased"))
	h.True(h.has("other"))
	h.True(errors.Is(h.Store.Renew(h.ctx, id), store.ErrLeaseNotFound))
	h.NoErr(h.Store.Renew(h.ctx, other))
}

func testLeaseRevoke(_ *testing.T, h *harness) {
	id := h.grant(ttl)
	h.putLeased("a", "v", id)
	h.putLeased("b", "v", id)
	before := h.list("").Revision
	h.NoErr(h.Store.Revoke(h.ctx, id))
	page := h.list("")
	h.Equal(len(page.KVs), 0)
	h.Equal(page.Revision, before+1) // all keys are deleted at one revision
	h.True(errors.Is(h.Store.Revoke(h.ctx, id), store.ErrLeaseNotFound))
	h.NoErr(h.Store.Revoke(h.ctx, h.grant(ttl)))
	h.Equal(h.list("").Revision, before+1) // a lease without keys changes nothing
}

// testLeaseDetach checks that revoking a lease keeps the keys that a later put has
// detached from it or attached to another lease.
func testLeaseDetach(_ *testing.T, h *harness) {
	id := h.grant(ttl)
	h.putLeased("k", "1", id)
	h.put("k", "2")
	next := h.grant(ttl)
	h.putLeased("moved", "1", id)
	h.putLeased("moved", "2", next)
	h.NoErr(h.Store.Revoke(h.ctx, id))
	h.True(h.has("k"))
	h.True(h.has("moved"))
	h.NoErr(h.Store.Revoke(h.ctx, next))
	h.True(!h.has("moved"))
}

func testLeaseUnknown(_ *testing.T, h *harness) {
	const unknown store.LeaseID = 1 << 40
	ops := []store.Op{{Key: "free", Value: []byte("v")}, {Key: "leased", Value: []byte("v"), Lease: unknown}}
	_, ok, err := h.Store.Commit(h.ctx, store.Txn{Ops: ops})
	h.True(!ok)
	h.True(errors.Is(err, store.ErrLeaseNotFound))
	h.Equal(len(h.list("").KVs), 0) // no operation of the transaction was applied
	h.True(errors.Is(h.Store.Renew(h.ctx, unknown), store.ErrLeaseNotFound))
}
