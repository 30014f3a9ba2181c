package etcd_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/etcd"
	"github.com/knapweedgw/knapweedgw/store/memory"
)

// countingListener counts the bytes that its connections transfer.
type countingListener struct {
	net.Listener
	in, out *atomic.Int64 // bytes that the client receives and sends
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l}, err
}

type countingConn struct {
	net.Conn
	l countingListener
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.out.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.l.in.Add(int64(n))
	return n, err
}

// BenchmarkCalls measures the time of each kind of call and the bytes that the client
// receives and sends, by the size of the value in bytes.
func BenchmarkCalls(b *testing.B) {
	ctx := context.Background()
	for _, size := range []int{100, 1000, 10_000, 100_000} {
		put := store.Txn{Ops: []store.Op{{Key: "/knapweedgw/bench/key", Value: make([]byte, size)}}}
		calls := map[string]func(*etcd.Client, <-chan store.WatchBatch){
			"commit":       func(c *etcd.Client, _ <-chan store.WatchBatch) { _, _, _ = c.Commit(ctx, put) },
			"get":          func(c *etcd.Client, _ <-chan store.WatchBatch) { _, _, _ = c.Get(ctx, "/knapweedgw/bench/key") },
			"commit+watch": func(c *etcd.Client, w <-chan store.WatchBatch) { _, _, _ = c.Commit(ctx, put); <-w },
		}
		if size == 100 {
			calls["renew"] = func(c *etcd.Client, _ <-chan store.WatchBatch) { _ = c.Renew(ctx, 1) }
		}
		for name, call := range calls {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) { benchmarkCall(b, put, name, call) })
		}
	}
}

func benchmarkCall(b *testing.B, put store.Txn, name string, call func(*etcd.Client, <-chan store.WatchBatch)) {
	ctx, cancel := context.WithCancel(context.Background())
	var in, out atomic.Int64
	ws := new(restful.WebService)
	s := memory.New(time.Now)
	etcd.NewServer(s).Routes(ws)
	srv := httptest.NewUnstartedServer(restful.NewContainer().Add(ws))
	srv.Listener = countingListener{srv.Listener, &in, &out}
	srv.Start()
	defer srv.Close()
	defer srv.CloseClientConnections()
	defer cancel()
	c := etcd.New([]string{srv.URL}, time.Minute)
	_, _ = s.Grant(ctx, time.Hour)
	_, _, _ = c.Commit(ctx, put)
	var watch <-chan store.WatchBatch
	if name == "commit+watch" {
		watch, _ = c.Watch(ctx, "", 0)
	}
	in.Store(0)
	out.Store(0)
	for b.Loop() {
		call(c, watch)
	}
	b.ReportMetric(float64(in.Load())/float64(b.N), "B-in/op")
	b.ReportMetric(float64(out.Load())/float64(b.N), "B-out/op")
}
