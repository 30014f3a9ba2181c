package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/knapweedgw/knapweedgw/lab/engine"
)

// One engine of flapEngines is cut off for flapDown out of each flapPeriod:
// it refuses new requests unanswered and loses its connections, but goes on
// generating what it holds.
const (
	flapEngines  = 20
	flapPeriod   = time.Second
	flapDown     = 400 * time.Millisecond
	flapRequests = 6000
	flapWorkers  = 100
	flapTokens   = 50
)

// flapper cuts off a handler at times.
type flapper struct {
	next http.Handler

	mu   sync.Mutex
	down chan struct{} // closed while down
	up   bool
}

func newFlapper(next http.Handler) *flapper {
	return &flapper{next: next, down: make(chan struct{}), up: true}
}

func (f *flapper) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(flapPeriod - flapDown)
		f.mu.Lock()
		close(f.down)
		f.up = false
		f.mu.Unlock()
		time.Sleep(flapDown)
		f.mu.Lock()
		f.down, f.up = make(chan struct{}), true
		f.mu.Unlock()
	}
}

// ServeHTTP implements http.Handler.
func (f *flapper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	down, up := f.down, f.up
	f.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		select {
		case <-down:
			cancel()
		case <-ctx.Done():
		}
	}()
	f.next.ServeHTTP(w, r.WithContext(ctx))
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// flapping counts the streams that are not whole while engines flap.
func flapping(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var addrs []string
	for i := range flapEngines {
		e := engine.New(engine.Config{
			ID: strconv.Itoa(i), Step: 5 * time.Millisecond, Batch: flapWorkers,
			CacheTokens: 100_000, PrefillRate: 1_000_000, Hold: 10 * time.Second,
		})
		go e.Run(ctx)
		f := newFlapper(e.Handler())
		if i == 0 {
			go f.run(ctx)
		}
		addr, stop, err := Serve(f)
		if err != nil {
			return err
		}
		defer stop()
		addrs = append(addrs, addr)
	}
	n, err := NewNode(addrs, nil)
	if err != nil {
		return err
	}
	defer func() { _ = n.Stop(context.Background()) }()
	failed := flapLoad(ctx, newCaller(n.URL()))
	_, _ = fmt.Fprintf(w, "1 of %d engines flaps: %d of %d streams not whole: %.4f answered whole\n",
		flapEngines, failed, flapRequests, 1-float64(failed)/flapRequests)
	return nil
}

func flapLoad(ctx context.Context, c *caller) (failed int) {
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(flapWorkers)
	for i := range flapRequests {
		g.Go(func() error {
			r := c.chat(ctx, i, flapTokens)
			mu.Lock()
			defer mu.Unlock()
			if r.err != nil || r.tokens != flapTokens {
				failed++
			}
			return nil
		})
	}
	_ = g.Wait()
	return failed
}
