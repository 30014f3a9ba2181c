package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/catalog"
)

// After a power failure of all nodes, the first requests were refused by nodes that received
// their configuration a moment later. Most of them were retries already and failed for good.

// startingReplica is the replica of a node that has just started.
type startingReplica struct {
	Replica
	catalog atomic.Pointer[catalog.Catalog]
	begun   chan struct{}
}

func (b *startingReplica) Catalog() *catalog.Catalog    { return b.catalog.Load() }
func (b *startingReplica) Initialized() <-chan struct{} { return b.begun }

func startingExchange(ctx context.Context) (*exchange, *startingReplica) {
	b := &startingReplica{begun: make(chan struct{})}
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
	return &exchange{router: &Router{replica: b}, req: req}, b
}

func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x, b := startingExchange(t.Context())
		go func() {
			time.Sleep(configWait / 2)
			b.catalog.Store(&catalog.Catalog{})
			close(b.begun)
		}()
		is.True(x.awaitCatalog())
		begun := time.Now()
		is.True(x.awaitCatalog()) // does not wait any more
		is.Equal(time.Since(begun), time.Duration(0))
	})
}

func TestWaitForTheFirstConfigurationIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x, _ := startingExchange(t.Context())
		begun := time.Now()
		is.True(!x.awaitCatalog())
		is.Equal(time.Since(begun), configWait)

		gone, cancel := context.WithCancel(t.Context())
		cancel()
		x, _ = startingExchange(gone)
		begun = time.Now()
		is.True(!x.awaitCatalog())
		is.Equal(time.Since(begun), time.Duration(0))
	})
}
