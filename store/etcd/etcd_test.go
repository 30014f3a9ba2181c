package etcd_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	restful "github.com/emicklei/go-restful/v3"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/etcd"
	"github.com/knapweedgw/knapweedgw/store/memory"
	"github.com/knapweedgw/knapweedgw/store/storetest"
)

// callTimeout is long, so that a passing test never reaches it.
const callTimeout = time.Minute

func serve(t *testing.T, s *memory.Store) string {
	ws := new(restful.WebService)
	etcd.NewServer(s).Routes(ws)
	srv := httptest.NewServer(restful.NewContainer().Add(ws))
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections) // runs first and ends the watches
	return srv.URL
}

func TestContract(t *testing.T) {
	storetest.Run(t, func(t *testing.T) storetest.Fixture {
		var offset atomic.Int64
		s := memory.New(func() time.Time { return time.Unix(1000, offset.Load()) })
		advance := func(d time.Duration) { offset.Add(int64(d)); s.Expire() }
		c := etcd.New([]string{serve(t, s)}, callTimeout)
		return storetest.Fixture{Store: c, Advance: advance, Compact: s.Compact}
	})
}

// TestConnectionIsReused checks that the next call reuses the connection after
// responses of any size and after error responses.
func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	ws := new(restful.WebService)
	etcd.NewServer(memory.New(time.Now)).Routes(ws)
	srv := httptest.NewUnstartedServer(restful.NewContainer().Add(ws))
	var opened atomic.Int64
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	c := etcd.New([]string{srv.URL}, callTimeout)
	for _, size := range []int{0, 1000, 5000, 100_000, store.MaxValueBytes} {
		_, _, err := c.Commit(ctx, store.Txn{Ops: []store.Op{{Key: "k", Value: make([]byte, size)}}})
		is.NoErr(err)
		_, _, err = c.Get(ctx, "k")
		is.NoErr(err)
		is.True(c.Revoke(ctx, 99) != nil)
	}
	is.Equal(opened.Load(), int64(1))
}
