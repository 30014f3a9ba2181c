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
	// endingPause is the mean pause between two copies of a request that terminates its targets,
	// and endingRun how long each runs before it does so, in milliseconds.
	endingPause = 600 * time.Millisecond
	endingRun   = "40"
	// targetDowntime is how long a target terminated by such a request stays down.
	targetDowntime = 700 * time.Millisecond
	// maxEnded is how many targets such a request may terminate if its copies arrive one after
	// the other: three, after which it is quarantined, and one more before every node has
	// received that.
	maxEnded = 4
	// endedAfterKillAll is how many more it may terminate if all nodes are killed before its
	// quarantine is recorded in the store, and recordTime how long recording may take.
	endedAfterKillAll = 3
	recordTime        = 3 * time.Second
)

// sendEnding sends copies of a request that terminates its targets, one after the other, to
// random nodes.
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

// targetEnded is called when such a request terminates a target, and restarts the target after
// targetDowntime.
func (r *run) targetEnded(t *target, e *standin.Engine) {
	end := r.targetFaultsOf(e.ID).begin()
	r.ends.observe()
	t.proxy.StopListening()
	born := e.Born()
	go func() {
		defer end()
		time.Sleep(targetDowntime)
		t.replaceMu.Lock()
		defer t.replaceMu.Unlock()
		r.must(t.proxy.ResumeListening())
		if e != t.current() || e.Born() != born {
			return // it was replaced or restarted meanwhile
		}
		e.Move()
		t.proxy.Redirect(e.Addr())
		r.store.Put("servers/"+e.ID, e.Entry("ready"))
	}()
}

// endingCheck limits how many targets such a request may terminate.
type endingCheck struct {
	journal *standin.Journal
	// storeDisrupted reports whether the store was disrupted between two times.
	storeDisrupted func(from, to time.Time) bool

	mu    sync.Mutex
	last  time.Time // when a target was terminated last
	extra int
}

func (e *endingCheck) observe() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last = time.Now()
}

// allowKillAll raises the limit, before all nodes are killed, if the quarantine may not be recorded
// yet. Nodes lose what they have learned unless it is in the store; recording takes recordTime and
// a store without faults.
func (e *endingCheck) allowKillAll() {
	ended := e.journal.Ended()
	e.mu.Lock()
	defer e.mu.Unlock()
	recorded := e.last.Add(recordTime)
	if ended > 0 && (time.Now().Before(recorded) || ended < maxEnded-1 || e.storeDisrupted(e.last, recorded)) {
		e.extra += endedAfterKillAll
	}
}

// count returns how many targets were terminated and how many may be.
func (e *endingCheck) count() (ended, limit int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.journal.Ended(), maxEnded + e.extra
}
