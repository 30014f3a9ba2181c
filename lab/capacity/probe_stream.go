package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedgw/knapweedgw/lab/bench"
)

// StreamMemory is the memory of a stream in progress, stacks included.
const StreamMemory Quantity = "stream_memory"

// Stream measures a gateway by the number of streams in progress.
type Stream struct{}

// Name implements Probe.
func (Stream) Name() string { return "stream" }

// Measure implements Probe.
func (Stream) Measure(ctx context.Context) ([]Slope, error) {
	s, err := sweep(StreamMemory, "streams", "B", []int{65, 130, 260, 520}, func(n int) (float64, error) {
		return streamMemory(ctx, n)
	})
	return []Slope{s}, err
}

// streamMemory returns what n streams through a gateway take beyond n streams
// straight from the stand-in.
func streamMemory(ctx context.Context, n int) (float64, error) {
	src := &pausing{}
	addr, stop, err := bench.Serve(src)
	if err != nil {
		return 0, err
	}
	defer stop()
	node, err := bench.NewNode([]string{addr}, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = node.Stop(ctx) }()
	direct, err := src.held(ctx, "http://"+addr, n)
	if err != nil {
		return 0, err
	}
	through, err := src.held(ctx, node.URL(), n)
	return through - direct, err
}

// pausing is a target whose streams stop after their first event until they
// are let go.
type pausing struct {
	mu      sync.Mutex
	begun   sync.WaitGroup
	release chan struct{}
}

// ServeHTTP implements http.Handler.
func (p *pausing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n")
	_ = http.NewResponseController(w).Flush()
	p.mu.Lock()
	wait := p.release
	p.mu.Unlock()
	<-wait
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// held returns the memory taken while n streams from url are in progress.
func (p *pausing) held(ctx context.Context, url string, n int) (float64, error) {
	p.mu.Lock()
	p.release = make(chan struct{})
	p.mu.Unlock()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}}
	defer client.CloseIdleConnections()
	before := liveMemory()
	var g errgroup.Group
	p.begun.Add(n)
	for i := range n {
		g.Go(func() error { return p.follow(ctx, client, url, i) })
	}
	p.begun.Wait()
	after := liveMemory()
	close(p.release)
	return float64(after) - float64(before), g.Wait()
}

func (p *pausing) follow(ctx context.Context, client *http.Client, url string, i int) error {
	var once sync.Once
	defer once.Do(p.begun.Done)
	body := fmt.Sprintf(`{"model":%q,"stream":true,"prompt_cache_key":"c%d","messages":[{"role":"user","content":"hello"}]}`, bench.Model, i)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+bench.APIKey)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("capacity: stream: status %d", resp.StatusCode)
	}
	first := make([]byte, 1)
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		return err
	}
	once.Do(p.begun.Done)
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
