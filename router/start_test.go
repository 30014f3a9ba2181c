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

// After all nodes had been without power, the first requests were refused by nodes that
// had their configuration a moment later. Most had come back once already and were lost.

// startingBeliefs are those of a node that has just begun.
type startingBeliefs struct {
	Beliefs
	catalog atomic.Pointer[catalog.Catalog]
	begun   chan struct{}
}

func (b *startingBeliefs) Catalog() *catalog.Catalog { return b.catalog.Load() }
func (b *startingBeliefs) Begun() <-chan struct{}    { return b.begun }

func startingExchange(ctx context.Context) (*exchange, *startingBeliefs) {
	b := &startingBeliefs{begun: make(chan struct{})}
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
	return &exchange{router: &Router{beliefs: b}, req: req}, b
}

func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x, b := startingExchange(t.Context())
		go func() {
			time.Sleep(startWait / 2)
			b.catalog.Store(&catalog.Catalog{})
			close(b.begun)
		}()
		is.True(x.awaitCatalog())
		begun := time.Now()
		is.True(x.awaitCatalog()) // at once from then on
		is.Equal(time.Since(begun), time.Duration(0))
	})
}

func TestRequestIsNotHeldForAConfigurationThatDoesNotCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		x, _ := startingExchange(t.Context())
		begun := time.Now()
		is.True(!x.awaitCatalog())
		is.Equal(time.Since(begun), startWait)

		gone, cancel := context.WithCancel(t.Context())
		cancel()
		x, _ = startingExchange(gone)
		begun = time.Now()
		is.True(!x.awaitCatalog())
		is.Equal(time.Since(begun), time.Duration(0))
	})
}
