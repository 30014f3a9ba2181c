package memory

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/store"
)

// Guards against a stand-in that is restored in another way than etcd: revisions and leases go back, watches end.
func TestRestoreGoesBack(t *testing.T) {
	is, s := is.New(t), New(time.Now)
	put := func(key string, id store.LeaseID) int64 {
		revision, ok, err := s.Commit(t.Context(), store.Txn{Ops: []store.Op{{Key: key, Value: []byte("v"), Lease: id}}})
		is.NoErr(err)
		is.True(ok)
		return revision
	}
	kept, err := s.Grant(t.Context(), time.Minute)
	is.NoErr(err)
	put("kept", kept)
	c := s.Snapshot()
	lost, err := s.Grant(t.Context(), time.Minute)
	is.NoErr(err)
	second := put("lost", lost)
	batches, err := s.Watch(t.Context(), "", second+1)
	is.NoErr(err)
	s.Restore(c)
	is.True(errors.Is((<-batches).Err, store.ErrUnavailable))
	page, err := s.List(t.Context(), "")
	is.NoErr(err)
	is.Equal(len(page.KVs), 1)
	is.Equal(s.Renew(t.Context(), lost), store.ErrLeaseNotFound)
	is.NoErr(s.Renew(t.Context(), kept))
	is.Equal(put("other", 0), second) // given out again
	is.NoErr(s.Revoke(t.Context(), kept))
	_, ok, err := s.Get(t.Context(), "kept")
	is.NoErr(err)
	is.True(!ok)
	batches, err = s.Watch(t.Context(), "", 1)
	is.NoErr(err)
	is.True(errors.Is((<-batches).Err, store.ErrCompacted))
}
