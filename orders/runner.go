package orders

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/knapweedgw/knapweedgw/lease"
	"github.com/knapweedgw/knapweedgw/targets"
)

// tickInterval is the time between two ticks of an issuer.
const tickInterval = 500 * time.Millisecond

// runner contends for the lease of one pool and ticks the pool's issuer.
type runner struct {
	pool    string
	region  string
	spec    atomic.Pointer[Spec]
	targets TargetSource
	keeper  *lease.Keeper
	issuer  *Issuer

	seen    *targets.Snapshot // that engines was computed from
	engines []Target

	quit       chan struct{} // closed to stop
	done       chan struct{} // closed when no tick is in progress and none follows
	stopKeeper context.CancelFunc
	keeperDone chan struct{}
}

func newRunner(d IssuerConfig, cfg lease.Config, m *lease.Metrics, src TargetSource, pool string) *runner {
	keeper := lease.NewKeeper(d.Store, cfg, LeaseName(d.Region, pool), d.Node, m, d.Now)
	return &runner{
		pool: pool, region: d.Region, targets: src,
		keeper: keeper, issuer: NewIssuer(d, pool, keeper),
		quit: make(chan struct{}), done: make(chan struct{}), keeperDone: make(chan struct{}),
	}
}

func (r *runner) start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.stopKeeper = cancel
	go func() {
		defer close(r.keeperDone)
		r.keeper.Run(ctx)
	}()
	go r.run()
}

// run ticks until quit is closed. A tick in progress is completed; each of its
// calls has a timeout.
func (r *runner) run() {
	defer close(r.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.quit:
			return
		case <-tick.C:
			r.issuer.Tick(context.Background(), *r.spec.Load(), r.current())
		}
	}
}

// current returns the engines of the pool in the runner's region.
func (r *runner) current() []Target {
	if s := r.targets.Snapshot(); s != r.seen {
		r.seen = s
		r.engines = engines(s.Pool(r.pool), r.region)
	}
	return r.engines
}

// stop waits for the tick in progress, then releases the lease.
func (r *runner) stop(ctx context.Context) {
	close(r.quit)
	<-r.done
	r.stopKeeper()
	<-r.keeperDone
	r.keeper.Release(ctx)
	r.issuer.metrics.deletePool(r.pool)
}
