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

// balancerPoll is the pause between two rounds of readiness checks.
const balancerPoll = 50 * time.Millisecond

// balancer is a stand-in for the platform's load balancer. It sends requests round-robin to the
// nodes whose /readyz answered 200 at the last check, and never retries.
type balancer struct {
	url       string
	transport *http.Transport

	mu    sync.Mutex
	nodes []string
	ready []string // those of nodes that passed the last check
	next  int      // counter of the round-robin
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

// ServeHTTP implements http.Handler. It reads the complete request body before forwarding, so that
// no response arrives while the body is still being read, and streams the response. If the node
// closes its connection inside the response, so does the balancer.
func (b *balancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	resp, err := b.forward(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	maps.Copy(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(flushWriter{w}, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// forward sends a request to the next ready node, without retries.
func (b *balancer) forward(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	node := b.nextNode()
	req, err := http.NewRequestWithContext(r.Context(), r.Method, node+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header = r.Header.Clone()
	return b.transport.RoundTrip(req)
}

// flushWriter flushes after each write.
type flushWriter struct{ http.ResponseWriter }

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	if err == nil {
		err = http.NewResponseController(f.ResponseWriter).Flush()
	}
	return n, err
}

// run checks the readiness of all nodes until ctx ends.
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

// routesTo reports whether node is among the ready ones.
func (b *balancer) routesTo(node string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Contains(b.ready, node)
}

// nextNode returns the URL of the next ready node, or one that refuses connections if no node is
// ready.
func (b *balancer) nextNode() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "http://127.0.0.1:1"
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// sendOK sends a request and reports whether the response has status 200.
func sendOK(method, target, body string) bool {
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
