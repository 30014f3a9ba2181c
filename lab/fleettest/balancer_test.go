package fleettest

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
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
	url       string
	transport *http.Transport

	mu    sync.Mutex
	nodes []string
	ready []string
	next  int
}

func startBalancer(t *testing.T) *balancer {
	t.Helper()
	b := &balancer{transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	front := httptest.NewServer(b)
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

// ServeHTTP implements http.Handler. It reads the request whole, so that no
// answer meets a body that is still being read, and passes on the answer as it
// comes. An answer cut by the node is cut for the caller too.
func (b *balancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	resp, err := b.pass(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	maps.Copy(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(flushed{w}, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// pass sends a request to the next ready node, once.
func (b *balancer) pass(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	node := b.choose()
	req, err := http.NewRequestWithContext(r.Context(), r.Method, node+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header = r.Header.Clone()
	return b.transport.RoundTrip(req)
}

// flushed passes on each piece at once.
type flushed struct{ http.ResponseWriter }

func (f flushed) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	if err == nil {
		err = http.NewResponseController(f.ResponseWriter).Flush()
	}
	return n, err
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

func (b *balancer) choose() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "http://127.0.0.1:1"
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
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
