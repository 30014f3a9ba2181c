package fleettest

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const balancerPoll = 50 * time.Millisecond

// balancer stands in for the platform's: it sends each request to the next
// node whose /readyz answered 200 when it last asked. It repeats nothing.
type balancer struct {
	url string

	mu    sync.Mutex
	nodes []string
	ready []string
	next  int
}

func startBalancer(t *testing.T) *balancer {
	t.Helper()
	b := &balancer{}
	front := httptest.NewServer(readWhole(&httputil.ReverseProxy{
		Rewrite:       func(r *httputil.ProxyRequest) { r.SetURL(b.choose()) },
		FlushInterval: -1,
		Transport:     &http.Transport{MaxIdleConnsPerHost: 256},
	}))
	b.url = front.URL
	ctx, stop := context.WithCancel(context.Background())
	var polling sync.WaitGroup
	polling.Go(func() { b.run(ctx) })
	t.Cleanup(func() {
		stop()
		polling.Wait()
		front.CloseClientConnections()
		front.Close()
	})
	return b
}

// readWhole reads each request's body before next handles it. A ReverseProxy
// that starts to answer while its transport still looks for the body's end
// closes the body, and with it the connection to the node.
func readWhole(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		b.mu.Lock()
		nodes := slices.Clone(b.nodes)
		b.mu.Unlock()
		var ready []string
		for _, n := range nodes {
			if answersOK(n + "/readyz") {
				ready = append(ready, n)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		time.Sleep(balancerPoll)
	}
}

func (b *balancer) add(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = append(b.nodes, node)
}

func (b *balancer) uses(node string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Contains(b.ready, node)
}

func (b *balancer) choose() *url.URL {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return &url.URL{Scheme: "http", Host: "127.0.0.1:1"}
	}
	b.next++
	u, err := url.Parse(b.ready[b.next%len(b.ready)])
	if err != nil {
		panic(err)
	}
	return u
}

// send says whether a request gets status 200.
func send(method, target, body string) bool {
	req, err := http.NewRequestWithContext(context.Background(), method, target, strings.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
