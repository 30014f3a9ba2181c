package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	probeInterval = 100 * time.Millisecond
	probeTimeout  = time.Second
)

// balancer picks among the nodes whose /readyz answered 200 to the last probe, as the platform's
// load balancer does. It treats a node as up until its first failed probe.
type balancer struct {
	nodes  []string
	client *http.Client

	mu   sync.Mutex
	down map[string]bool
}

func newBalancer(nodes []string) *balancer {
	return &balancer{
		nodes:  nodes,
		client: &http.Client{Timeout: probeTimeout},
		down:   make(map[string]bool),
	}
}

// pick returns a random node among those that are up, or among all nodes if none is up.
func (b *balancer) pick(rng *rand.Rand) string {
	draw := rng.Uint64()
	b.mu.Lock()
	defer b.mu.Unlock()
	var up []string
	for _, n := range b.nodes {
		if !b.down[n] {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		up = b.nodes
	}
	return up[draw%uint64(len(up))]
}

// run probes every node until ctx is done.
func (b *balancer) run(ctx context.Context) {
	var probes sync.WaitGroup
	for _, node := range b.nodes {
		probes.Go(func() { b.probe(ctx, node) })
	}
	probes.Wait()
}

func (b *balancer) probe(ctx context.Context, node string) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		up := b.ready(ctx, node)
		if ctx.Err() == nil {
			b.set(node, up)
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

func (b *balancer) set(node string, up bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down[node] = !up
}

func (b *balancer) ready(ctx context.Context, node string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, node+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
