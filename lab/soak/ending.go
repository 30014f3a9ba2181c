package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/standin"
)

const (
	// endingPause is the mean pause between two copies of a request that ends its
	// targets, and endingRun how long it runs before, in milliseconds.
	endingPause = 600 * time.Millisecond
	endingRun   = "40"
	// endedFor is how long a target is away then.
	endedFor = 700 * time.Millisecond
	// mostEnded is how many targets such a request may end if its copies come one by
	// one: three, by which it is known, and one on the way of that news.
	mostEnded = 4
	// forgotten are those that it may end again if all nodes end before it is noted, and
	// noting how long that may take.
	forgotten = 3
	noting    = 3 * time.Second
)

// sendEnding sends copies of a request that ends its targets, one by one, to any node.
func (r *run) sendEnding(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 1<<32))
	for ctx.Err() == nil {
		n := r.nodes[rng.IntN(len(r.nodes))]
		_ = standin.Front(n.front).Do(ctx, standin.Request{
			Path: standin.StreamPath + "ends", Body: standin.EndingBody,
			Header: http.Header{standin.BeforeHeader: {endingRun}},
		})
		time.Sleep(time.Duration((0.5 + rng.Float64()) * float64(endingPause)))
	}
}

// noteEnd is called as a target ends under such a request, and has it start again.
func (r *run) noteEnd(t *target, e *standin.Engine) {
	end := r.harmOf(e.ID).begin()
	r.ends.note()
	t.proxy.Leave()
	born := e.Born()
	go func() {
		defer end()
		time.Sleep(endedFor)
		t.replacing.Lock()
		defer t.replacing.Unlock()
		r.must(t.proxy.Return())
		if e != t.current() || e.Born() != born {
			return // it was replaced or has started again meanwhile
		}
		e.Move()
		t.proxy.Redirect(e.Addr())
		r.store.Put("servers/"+e.ID, e.Entry("ready"))
	}()
}

// endsRule bounds how many targets such a request may end.
type endsRule struct {
	journal *standin.Journal
	// store says whether the store was harmed in a time.
	store func(from, to time.Time) bool

	mu    sync.Mutex
	last  time.Time // of the newest end
	extra int
}

func (e *endsRule) note() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last = time.Now()
}

// killsAll is for the end of all nodes: what they know is lost unless it was noted in the
// store, which takes a moment and the store.
func (e *endsRule) killsAll() {
	ended := e.journal.Ended()
	e.mu.Lock()
	defer e.mu.Unlock()
	noted := e.last.Add(noting)
	if ended > 0 && (time.Now().Before(noted) || ended < mostEnded-1 || e.store(e.last, noted)) {
		e.extra += forgotten
	}
}

// count returns how many targets ended and how many may have.
func (e *endsRule) count() (ended, most int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.journal.Ended(), mostEnded + e.extra
}
