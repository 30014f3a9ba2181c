package claims_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/claims"
	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/lab/platform"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/store/etcd"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// peerBytes returns the sum of a node's knapweedgw_peer_bytes_total counters.
func peerBytes(b *testing.B, reg *prometheus.Registry) (sum float64) {
	families, err := reg.Gather()
	if err != nil {
		b.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() != "knapweedgw_peer_bytes_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			sum += m.GetCounter().GetValue()
		}
	}
	return sum
}

// BenchmarkOwnerTraffic sends 46, 460 or 1380 claims a second from one node to another
// that owns all shards, and reports the traffic of one shard in both directions.
func BenchmarkOwnerTraffic(b *testing.B) {
	for _, claimsPerS := range []int{46, 460, 1380} {
		b.Run(fmt.Sprintf("claims_per_s=%d", claimsPerS), func(b *testing.B) { ownerTraffic(b, claimsPerS) })
	}
}

func ownerTraffic(b *testing.B, claimsPerS int) {
	var storeBytes atomic.Int64
	p := platform.New()
	server := httptest.NewUnstartedServer(p.Handler())
	server.Listener = countingListener{server.Listener, &storeBytes}
	server.Start()
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	owner := membership.Node{ID: "owner-0123", PeerAddr: freeAddr(b)}
	view := fixedView{&membership.View{Nodes: []membership.Node{owner}}}
	registry := prometheus.NewRegistry() // metrics of the owner
	start := func(id, addr string, reg *prometheus.Registry) *claims.Service {
		l := log.New(io.Discard)
		hub := peer.NewHub(addr, l, reg)
		s := claims.NewService(core.Holder{Node: id, Incarnation: time.Now().UnixNano()}, claims.DefaultSettings(),
			etcd.New([]string{server.URL}, etcd.DefaultTimeout), hub, view, l, reg)
		if err := hub.Start(ctx); err != nil {
			b.Fatal(err)
		}
		if err := s.Start(ctx); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = hub.Stop(context.Background()) })
		return s
	}
	start(owner.ID, owner.PeerAddr, registry)
	entry := start("entry-0123", freeAddr(b), prometheus.NewRegistry())
	var wg sync.WaitGroup
	pace := time.NewTicker(time.Second / time.Duration(claimsPerS))
	defer pace.Stop()
	began := time.Now()
	n := 0
	for b.Loop() {
		<-pace.C
		n++
		k := claims.Key{Team: "team", Workspace: "workspace", Idempotency: fmt.Sprint("key-", n)}
		wg.Go(func() {
			v, err := entry.Claim(ctx, k, claims.Fingerprint{1})
			if err == nil && v.State == claims.Granted {
				v.Ticket.Finish(claims.Ran, nil)
			}
		})
	}
	wg.Wait()
	if err := entry.Stop(ctx); err != nil {
		b.Fatal(err)
	}
	shardSeconds := time.Since(began).Seconds() * core.Shards
	b.ReportMetric(peerBytes(b, registry)/shardSeconds, "peer-B/s")
	b.ReportMetric(float64(storeBytes.Load())/shardSeconds, "store-B/s")
	b.ReportMetric(float64(p.Calls().Writes)/shardSeconds, "writes/s")
	b.ReportMetric(float64(p.Calls().Reads)/shardSeconds, "reads/s")
}
