package etcd_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/etcd"
)

// shortTimeout is the timeout of the calls that are expected to time out.
const shortTimeout = 50 * time.Millisecond

// respond returns a handler that sends the same response to every call.
func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// hang reads the request and never responds.
func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// truncate closes the connection in the middle of the response.
func truncate(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(w, `{"header":{"revision":"7"},"succe`)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// disconnect closes the connection without a response.
func disconnect(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func TestFailures(t *testing.T) {
	tests := map[string]struct {
		handler     http.HandlerFunc
		write, read error // the errors that a write and a read must return
		timeout     time.Duration
	}{
		"no leader":                  {handler: respond(503, `{"code":14,"message":"etcdserver: no leader"}`), write: store.ErrUnavailable, read: store.ErrUnavailable},
		"timed out inside etcd":      {handler: respond(503, `{"code":14,"message":"etcdserver: request timed out"}`), write: store.ErrUncertain, read: store.ErrUnavailable},
		"503 of a proxy":             {handler: respond(503, "upstream connect error"), write: store.ErrUncertain, read: store.ErrUnavailable},
		"504 of a proxy":             {handler: respond(504, ""), write: store.ErrUncertain, read: store.ErrUnavailable},
		"500":                        {handler: respond(500, "{}"), write: store.ErrUncertain, read: store.ErrUnavailable},
		"redirect":                   {handler: respond(307, ""), write: store.ErrUncertain, read: store.ErrUnavailable},
		"rate limit of etcd":         {handler: respond(429, `{"code":8,"message":"etcdserver: too many requests"}`), write: store.ErrRateLimited, read: store.ErrRateLimited},
		"rate limit of a proxy":      {handler: respond(429, "slow down"), write: store.ErrRateLimited, read: store.ErrRateLimited},
		"request too large for etcd": {handler: respond(400, `{"code":3,"message":"etcdserver: request is too large"}`), write: store.ErrValueTooLarge, read: store.ErrValueTooLarge},
		"lease not found":            {handler: respond(404, `{"code":5,"message":"etcdserver: requested lease not found"}`), write: store.ErrLeaseNotFound, read: store.ErrLeaseNotFound},
		"404 of a proxy":             {handler: respond(404, "no route"), write: store.ErrUncertain, read: store.ErrUnavailable},
		"not JSON":                   {handler: respond(200, "<html>"), write: store.ErrUncertain, read: store.ErrUnavailable},
		"empty response":             {handler: respond(200, ""), write: store.ErrUncertain, read: store.ErrUnavailable},
		"wrong type":                 {handler: respond(200, `{"header":{"revision":"seven"}}`), write: store.ErrUncertain, read: store.ErrUnavailable},
		"truncated response":         {handler: truncate, write: store.ErrUncertain, read: store.ErrUnavailable},
		"closed without response":    {handler: disconnect, write: store.ErrUncertain, read: store.ErrUnavailable},
		"timeout":                    {handler: hang, write: store.ErrUncertain, read: store.ErrUnavailable, timeout: shortTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				tt.handler(w, r)
			}))
			defer srv.Close()
			timeout := callTimeout
			if tt.timeout > 0 {
				timeout = tt.timeout
			}
			c := etcd.New([]string{srv.URL, srv.URL}, timeout)
			checkCalls(t, c, tt.write, tt.read, &calls)
		})
	}
}

// checkCalls makes each kind of call once, and checks its error and that the service
// received it once.
func checkCalls(t *testing.T, c *etcd.Client, write, read error, calls *atomic.Int64) {
	ctx := context.Background()
	kinds := map[string]struct {
		call func() error
		want error
	}{
		"commit": {func() error { _, _, err := c.Commit(ctx, store.Txn{}); return err }, write},
		"grant":  {func() error { _, err := c.Grant(ctx, time.Second); return err }, write},
		"renew":  {func() error { return c.Renew(ctx, 1) }, write},
		"revoke": {func() error { return c.Revoke(ctx, 1) }, write},
		"get":    {func() error { _, _, err := c.Get(ctx, "k"); return err }, read},
		"list":   {func() error { _, err := c.List(ctx, "k"); return err }, read},
		"watch":  {func() error { _, err := c.Watch(ctx, "k", 1); return err }, read},
	}
	for name, k := range kinds {
		before := calls.Load()
		err := k.call()
		if !errors.Is(err, k.want) || errors.Is(err, store.ErrUncertain) != (k.want == store.ErrUncertain) {
			t.Errorf("%s: got %v, want %v", name, err, k.want)
		}
		if n := calls.Load() - before; n != 1 {
			t.Errorf("%s: sent %d times", name, n)
		}
	}
}

// closedURL returns a URL that refuses connections.
func closedURL(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = ln.Close() }()
	return "http://" + ln.Addr().String()
}

// TestRefusedConnection checks that a call that no endpoint accepts is known to have
// had no effect.
func TestRefusedConnection(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := etcd.New([]string{closedURL(t)}, callTimeout)
	_, _, err := c.Commit(ctx, store.Txn{})
	is.True(errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrUncertain))
	_, err = c.Watch(ctx, "", 0)
	is.True(errors.Is(err, store.ErrUnavailable))

	_, _, err = etcd.New(nil, callTimeout).Commit(ctx, store.Txn{})
	is.True(errors.Is(err, store.ErrUnavailable)) // no endpoint
}

func TestNextEndpointAfterRefusedConnection(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		respond(200, `{"header":{"revision":"7"},"succeeded":true}`)(w, r)
	}))
	defer srv.Close()
	c := etcd.New([]string{closedURL(t), srv.URL}, callTimeout)
	rev, ok, err := c.Commit(context.Background(), store.Txn{})
	is.NoErr(err)
	is.True(ok)
	is.Equal(rev, int64(7))
	is.Equal(calls.Load(), int64(1))
}

// TestWatchResponses checks the first batch of a watch for each kind of response of etcd.
func TestWatchResponses(t *testing.T) {
	const created = `{"result":{"header":{"revision":"9"},"created":true}}` + "\n"
	const event = `{"result":{"header":{"revision":"50"},"events":[{"kv":{"key":"aw==","value":"dg==","mod_revision":"12"}}]}}` + "\n"
	tests := map[string]struct {
		body     string
		revision int64 // of the first batch
		err      error // of the first batch
	}{
		"header revision ahead of the events": {created + event, 12, nil},
		"progress response without events":    {created + `{"result":{"header":{"revision":"40"}}}` + event, 12, nil},
		"compacted":                           {created + `{"result":{"canceled":true,"compact_revision":"30"}}`, 30, store.ErrCompacted},
		"canceled":                            {created + `{"result":{"canceled":true,"cancel_reason":"no leader"}}`, 0, store.ErrUnavailable},
		"gateway error":                       {created + `{"error":{"code":14,"message":"no leader"}}`, 0, store.ErrUnavailable},
		"truncated event":                     {created + event[:40], 0, store.ErrUnavailable},
		"end of the body":                     {created, 0, store.ErrUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(respond(200, tt.body))
			defer srv.Close()
			ch, err := etcd.New([]string{srv.URL}, callTimeout).Watch(context.Background(), "k", 10)
			is.NoErr(err)
			b := <-ch
			is.True(errors.Is(b.Err, tt.err) || tt.err == nil && b.Err == nil)
			is.Equal(b.Revision, tt.revision)
			for range ch { // until the end of the body closes the channel
			}
		})
	}
}

// TestRangeHeader checks that a read of one key returns the store's revision, as etcd
// does, and not that of the key.
func TestRangeHeader(t *testing.T) {
	is := is.New(t)
	s := newStoreAt(t, "a", "b", "c")
	for _, key := range []string{"a", "none"} {
		is.Equal(rangeRevision(t, s, key), "3")
	}
}
