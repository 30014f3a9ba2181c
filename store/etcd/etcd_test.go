package etcd_test

import (
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	"github.com/knapweedgw/knapweedgw/store/etcd"
	"github.com/knapweedgw/knapweedgw/store/memory"
	"github.com/knapweedgw/knapweedgw/store/storetest"
)

// callTimeout is long, so that no verdict depends on it.
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
