package bench

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/lab/engine"
	"github.com/knapweedgw/knapweedgw/lab/measure"
)

const (
	overloadEngines  = 4
	overloadRequests = 2000
	overloadWorkers  = 64
	overloadEvery    = 20 // each n-th stream of an engine hides an overload
	overloadTokens   = 10
)

// hiddenOverload counts the requests that fail because an engine hides an
// overload behind opening events, with and without a hold.
func hiddenOverload(ctx context.Context, w io.Writer) error {
	for _, hold := range []time.Duration{0, 250 * time.Millisecond} {
		for _, every := range []int{0, overloadEvery} {
			if err := overloadRun(ctx, w, hold, every); err != nil {
				return err
			}
		}
	}
	return nil
}

func overloadRun(ctx context.Context, w io.Writer, hold time.Duration, every int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var addrs []string
	for i := range overloadEngines {
		e := engine.New(engine.Config{
			ID: strconv.Itoa(i), Step: time.Millisecond, Batch: overloadWorkers,
			CacheTokens: 100_000, PrefillRate: 1_000_000, Hold: time.Second,
		})
		e.SetFaults(engine.Faults{HiddenOverload: every})
		go e.Run(ctx)
		addr, stop, err := Serve(e.Handler())
		if err != nil {
			return err
		}
		defer stop()
		addrs = append(addrs, addr)
	}
	n, err := NewNode(addrs, func(c *config.Node) { c.StreamHold = hold })
	if err != nil {
		return err
	}
	defer func() { _ = n.Stop(context.Background()) }()
	failed, firsts := overloadLoad(ctx, newCaller(n.URL()))
	_, _ = fmt.Fprintf(w, "hidden overload in %s, hold %v: %d of %d failed, first token p50 %v p99 %v\n",
		share(every), hold, failed, overloadRequests, measure.Quantile(firsts, 0.50), measure.Quantile(firsts, 0.99))
	return nil
}

func share(every int) string {
	if every == 0 {
		return "no stream"
	}
	return fmt.Sprintf("1 of %d streams", every)
}

func overloadLoad(ctx context.Context, c *caller) (failed int, firsts []time.Duration) {
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(overloadWorkers)
	for i := range overloadRequests {
		g.Go(func() error {
			r := c.chat(ctx, i, overloadTokens)
			mu.Lock()
			defer mu.Unlock()
			if r.err != nil || r.tokens != overloadTokens {
				failed++
				return nil
			}
			firsts = append(firsts, r.first)
			return nil
		})
	}
	_ = g.Wait()
	return failed, firsts
}
