package lease

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/memory"
)

// Guards against a term whose fencing number is not greater than that of an earlier one, since the store was
// restored from a snapshot and gives out its revisions again: what accepted the earlier number would refuse the
// holder until the store's revision has passed it.
func TestFenceGrowsOverARestore(t *testing.T) {
	for name, waits := range map[string]bool{"the next holder has seen the earlier term": true, "it learns of it by a refusal": false} {
		t.Run(name, func(t *testing.T) {
			is, s := is.New(t), memory.New(time.Now)
			m := NewMetrics(prometheus.NewRegistry())
			cfg := DefaultConfig()
			cfg.RenewEvery, cfg.Retry = 5*time.Millisecond, 5*time.Millisecond
			a := NewKeeper(s, cfg, "d", "a", m, time.Now)
			b := NewKeeper(s, cfg, "d", "b", m, time.Now)
			c := s.Snapshot()
			for range 50 {
				_, _, err := s.Commit(t.Context(), store.Txn{Ops: []store.Op{{Key: "other", Value: []byte("v")}}})
				is.NoErr(err)
			}
			ctxA, stopA := context.WithCancel(t.Context())
			doneA := make(chan struct{})
			go func() { defer close(doneA); a.Run(ctxA) }()
			first := waitForTerm(t, a)
			if waits {
				b.Step(t.Context())
			}
			stopA()
			<-doneA
			s.Restore(c)
			go b.Run(t.Context())
			second := waitForTerm(t, b)
			if !waits {
				b.Invalidate(first.Fence)
				for second.Fence <= first.Fence && t.Context().Err() == nil {
					second = waitForTerm(t, b)
				}
			}
			is.True(second.Fence > first.Fence)
			_, ok, err := s.Commit(t.Context(), store.Txn{
				Compares: []store.Compare{b.FenceCompare(second.Fence)}, Ops: []store.Op{{Key: "k", Value: []byte("v")}},
			})
			is.NoErr(err)
			is.True(ok)
			_, ok, err = s.Commit(t.Context(), store.Txn{
				Compares: []store.Compare{a.FenceCompare(first.Fence)}, Ops: []store.Op{{Key: "k", Value: []byte("v")}},
			})
			is.NoErr(err)
			is.True(!ok)
		})
	}
}
