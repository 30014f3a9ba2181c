package memory

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/store"
)

// TestHistoryIsBounded checks both bounds of the history, and that a watch from a
// dropped revision returns the oldest revision that it can start from.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := New(time.Now)
	s.history.maxEvents, s.history.maxBytes = 10, 1000
	put := func(n int) {
		_, _, err := s.Commit(ctx, store.Txn{Ops: []store.Op{{Key: "k", Value: make([]byte, n)}}})
		is.NoErr(err)
	}
	for range 1000 {
		put(1)
	}
	is.Equal(len(s.history.events), 10)
	for range 100 {
		put(400)
	}
	is.Equal(len(s.history.events), 2) // bounded by bytes: two values of 400 bytes fit into 1000
	put(5000)
	is.Equal(len(s.history.events), 1) // the newest revision is always kept
	is.Equal(s.history.bytes, 5001)

	ch, err := s.Watch(ctx, "k", 1)
	is.NoErr(err)
	b := <-ch
	is.True(errors.Is(b.Err, store.ErrCompacted))
	is.Equal(b.Revision, s.revision)
}

// BenchmarkCommit measures a put with many leases, and with many watches on another
// prefix.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []struct{ leases, watches int }{{0, 0}, {10_000, 0}, {0, 370}} {
		b.Run(fmt.Sprintf("leases=%d,watches=%d", size.leases, size.watches), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s := New(time.Now)
			for range size.leases {
				_, _ = s.Grant(ctx, time.Hour)
			}
			for range size.watches {
				_, _ = s.Watch(ctx, "other", 0)
			}
			for b.Loop() {
				_, _, _ = s.Commit(ctx, store.Txn{Ops: []store.Op{{Key: "k", Value: []byte("v")}}})
			}
		})
	}
}
