package labhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/vmlist"
)

// TestRegisterRetries checks that Register retries while the platform refuses it.
func TestRegisterRetries(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) < 3 || r.URL.Path != "/lab/vms/e1" || r.Method != http.MethodPut {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer srv.Close()
	is.NoErr(Register(context.Background(), srv.URL, vmlist.VM{ID: "e1"}))
	is.Equal(calls.Load(), int64(3))
}

func TestRegisterEndsWithContext(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.New(t).True(Register(ctx, srv.URL, vmlist.VM{ID: "e1"}) != nil)
}

func TestServeEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.New(t).NoErr(Serve(ctx, "127.0.0.1:0", http.NotFoundHandler()))
	is.New(t).True(Serve(context.Background(), "256.0.0.1:0", nil) != nil)
}
