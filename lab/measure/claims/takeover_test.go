package claims_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/lab/platform"
	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/etcd"
)

func holderAlive(core.Holder) bool { return true }

// runSteps executes the steps of a shard until it waits.
func runSteps(b *testing.B, s *core.Shard, now core.Instant, st store.Store) {
	for {
		step := s.Next(now)
		s.Replies()
		switch step.Kind {
		case core.StepWait:
			return
		case core.StepRead:
			page, err := st.List(context.Background(), step.Prefix)
			if err != nil {
				b.Fatal(err)
			}
			s.Loaded(now, page, err)
		case core.StepCommit:
			revision, ok, err := st.Commit(context.Background(), step.Txn)
			s.Committed(now, revision, ok, err)
		}
	}
}

// fillLog writes a shard's log for the whole retention. Each claim ends 3 seconds' worth
// of claims after it was made.
func fillLog(b *testing.B, st store.Store, perSecond int) core.Instant {
	const commitsPerSecond = 7
	cfg := core.DefaultConfig()
	s := core.NewShard(0, cfg, holderAlive)
	ask := func(n int) core.ClaimRequest {
		a := core.ClaimRequest{Attempt: core.AttemptID(uint64(n) << 33), Holder: core.Holder{Node: "entry-0123", Incarnation: 1 << 60}}
		binary.BigEndian.PutUint64(a.Key[4:], uint64(n)*0x9e3779b97f4a7c15)
		a.Fingerprint = core.Fingerprint(a.Key)
		return a
	}
	n, delay := 0, 3*perSecond
	var now core.Instant
	for now < cfg.Retention {
		for range max(1, perSecond/commitsPerSecond) {
			n++
			a := ask(n)
			s.Ask(now, core.Ref(2*n), a, core.Forever)
			if n > delay {
				e := ask(n - delay)
				s.End(now, core.Ref(2*n+1), core.OutcomeRecord{Key: e.Key, Attempt: e.Attempt, Outcome: core.Ran}, core.Forever)
			}
		}
		runSteps(b, s, now, st)
		now += time.Second / time.Duration(min(perSecond, commitsPerSecond))
		runSteps(b, s, now, st)
	}
	return now
}

// BenchmarkTakeover measures how long a new owner takes to read a shard's whole log.
func BenchmarkTakeover(b *testing.B) {
	for _, claimsPerS := range []int{46, 460, 1380} {
		b.Run(fmt.Sprintf("claims_per_s=%d", claimsPerS), func(b *testing.B) {
			p := platform.New()
			server := httptest.NewServer(p.Handler())
			defer server.Close()
			now := fillLog(b, p.Store(), claimsPerS/core.Shards)
			client := etcd.New([]string{server.URL}, etcd.DefaultTimeout)
			var keys int
			for b.Loop() {
				s := core.NewShard(0, core.DefaultConfig(), holderAlive)
				s.Ask(now, 1, core.ClaimRequest{Key: core.KeyID{1}}, core.Forever)
				runSteps(b, s, now, client)
				keys, _ = s.Len()
			}
			b.ReportMetric(float64(keys), "keys")
			page, _ := p.Store().List(context.Background(), core.Prefix)
			bytes := 0
			for _, kv := range page.KVs {
				bytes += len(kv.Key) + len(kv.Value)
			}
			b.ReportMetric(float64(bytes), "log-bytes")
			b.ReportMetric(float64(len(page.KVs)), "store-keys")
		})
	}
}
