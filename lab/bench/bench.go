package bench

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/measure"
	"github.com/knapweedgw/knapweedgw/lab/usage"
	"golang.org/x/sync/errgroup"
)

// Sizes of the parts.
const (
	firstTokenRate    = 100 // requests/s, direct and through the node
	firstTokenSeconds = 10
	relayStreams      = 200
	relayTokens       = 400
	relayPace         = 10 * time.Millisecond
	memoryRequests    = 10_000
	memoryWorkers     = 32
)

type part struct {
	name string
	run  func(context.Context, io.Writer) error
}

var parts = []part{
	{"first-token", firstToken},
	{"relay", relay},
	{"memory", memory},
	{"in-flight", inFlight},
	{"hidden-overload", hiddenOverload},
	{"flapping", flapping},
}

// Names returns the names of the parts.
func Names() []string {
	var names []string
	for _, p := range parts {
		names = append(names, p.name)
	}
	return names
}

// Run measures the named parts, or all if none is named, and writes a line
// for each figure to w.
func Run(ctx context.Context, w io.Writer, names []string) error {
	for _, p := range parts {
		if len(names) > 0 && !slices.Contains(names, p.name) {
			continue
		}
		if err := p.run(ctx, w); err != nil {
			return err
		}
	}
	return nil
}

// pair is a source called directly and through a node.
type pair struct {
	direct, node *caller
	stop         func()
}

func newPair(s source) (*pair, error) {
	addr, stopSource, err := Serve(s)
	if err != nil {
		return nil, err
	}
	n, err := NewNode([]string{addr}, nil)
	if err != nil {
		stopSource()
		return nil, err
	}
	stop := func() {
		_ = n.Stop(context.Background())
		stopSource()
	}
	return &pair{direct: newCaller("http://" + addr), node: newCaller(n.URL()), stop: stop}, nil
}

// firstToken compares the time to the first token, side by side.
func firstToken(ctx context.Context, w io.Writer) error {
	p, err := newPair(source{tokens: 5, pace: time.Millisecond})
	if err != nil {
		return err
	}
	defer p.stop()
	var mu sync.Mutex
	var direct, node []time.Duration
	var g errgroup.Group
	tick := time.NewTicker(time.Second / firstTokenRate)
	defer tick.Stop()
	ask := func(c *caller, out *[]time.Duration, n int) func() error {
		return func() error {
			r := c.chat(ctx, n, 0)
			mu.Lock()
			defer mu.Unlock()
			*out = append(*out, r.first)
			return r.err
		}
	}
	for i := range firstTokenRate * firstTokenSeconds {
		<-tick.C
		g.Go(ask(p.direct, &direct, i))
		time.Sleep(time.Second / firstTokenRate / 2)
		g.Go(ask(p.node, &node, i))
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for _, q := range []float64{0.50, 0.99} {
		d, n := measure.Quantile(direct, q), measure.Quantile(node, q)
		_, _ = fmt.Fprintf(w, "first token p%.0f: direct %v, through the node %v, added %v\n", q*100, d, n, n-d)
	}
	return nil
}

// relay compares the CPU time of a stream event, called directly and through
// the node; the difference is the node's own.
func relay(ctx context.Context, w io.Writer) error {
	p, err := newPair(source{tokens: relayTokens, pace: relayPace})
	if err != nil {
		return err
	}
	defer p.stop()
	direct, err := eventCost(ctx, p.direct)
	if err != nil {
		return err
	}
	through, err := eventCost(ctx, p.node)
	if err != nil {
		return err
	}
	own := through.cpu - direct.cpu
	_, _ = fmt.Fprintf(w, "relay: direct %v and %.1f allocations an event, through the node %v and %.1f; own %v: %.0f events/s a core\n",
		direct.cpu, direct.allocs, through.cpu, through.allocs, own, float64(time.Second)/float64(own))
	return nil
}

type cost struct {
	cpu    time.Duration
	allocs float64
}

func eventCost(ctx context.Context, c *caller) (cost, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := usage.CPUTime()
	var g errgroup.Group
	for i := range relayStreams {
		g.Go(func() error { return c.chat(ctx, i, 0).err })
	}
	if err := g.Wait(); err != nil {
		return cost{}, err
	}
	used := usage.CPUTime() - start
	runtime.ReadMemStats(&after)
	const events = relayStreams * relayTokens
	return cost{used / events, float64(after.Mallocs-before.Mallocs) / events}, nil
}

// memory reports the live heap while requests pass.
func memory(ctx context.Context, w io.Writer) error {
	p, err := newPair(source{tokens: 5})
	if err != nil {
		return err
	}
	defer p.stop()
	for done := 0; done < memoryRequests; done += memoryRequests / 5 {
		var g errgroup.Group
		g.SetLimit(memoryWorkers)
		for i := range memoryRequests / 5 {
			g.Go(func() error { return p.node.chat(ctx, done+i, 0).err })
		}
		if err := g.Wait(); err != nil {
			return err
		}
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		_, _ = fmt.Fprintf(w, "memory after %d requests: live heap %d KB, goroutines %d\n",
			done+memoryRequests/5, m.HeapAlloc>>10, runtime.NumGoroutine())
	}
	return nil
}
