package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"

	"golang.org/x/sync/errgroup"
)

// inFlightSizes are the numbers of streams held open: half, once and twice
// what a node has at the design size.
var inFlightSizes = []int{130, 260, 520}

// pending sends the first token of each stream and holds it until release is
// closed.
type pending struct {
	begun   sync.WaitGroup
	release chan struct{}
}

// ServeHTTP implements http.Handler.
func (p *pending) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	source{tokens: 1}.start(w, r)
	p.begun.Done()
	<-p.release
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// inFlight reports the node's own memory for each stream it relays: heap and
// stacks with streams through the node, less those with direct streams.
func inFlight(ctx context.Context, w io.Writer) error {
	for _, n := range inFlightSizes {
		direct, err := heldMemory(ctx, n, false)
		if err != nil {
			return err
		}
		through, err := heldMemory(ctx, n, true)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(w, "%d streams in flight: direct %d KB, through the node %d KB: %.1f KB of the node's own each\n",
			n, direct>>10, through>>10, float64(through-direct)/float64(n)/1024)
	}
	return nil
}

func heldMemory(ctx context.Context, n int, throughNode bool) (int64, error) {
	p := &pending{release: make(chan struct{})}
	p.begun.Add(n)
	addr, stop, err := Serve(p)
	if err != nil {
		return 0, err
	}
	defer stop()
	url := "http://" + addr
	if throughNode {
		node, err := NewNode([]string{addr}, nil)
		if err != nil {
			return 0, err
		}
		defer func() { _ = node.Stop(context.Background()) }()
		url = node.URL()
	}
	before := liveMemory()
	c := newCaller(url)
	var g errgroup.Group
	for i := range n {
		g.Go(func() error { return c.chat(ctx, i, 0).err })
	}
	p.begun.Wait()
	held := liveMemory() - before
	close(p.release)
	return held, g.Wait()
}

func liveMemory() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
