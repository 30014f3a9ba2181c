package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
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
	// maxEndedByPart is the same for a prompt part: five, and three more before every node has received that.
	maxEndedByPart = 8
	// recordTime is how long the recording of a quarantine in the store may take. If all nodes are killed before, all but
	// one of these targets may be terminated again.
	recordTime = 3 * time.Second
)

// sendEnding sends requests that terminate their targets, one after the other, to random nodes: copies of one request, or
// in the profile EndingPart requests that share a prompt part.
func (r *run) sendEnding(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 1<<32))
	for ctx.Err() == nil {
		n := r.nodes[rng.IntN(len(r.nodes))]
		request := standin.Request{Path: standin.StreamPath + "ends", Body: standin.EndingBody, ID: standin.NewID()}
		if r.Profile == EndingPart {
			request.Path, request.Body = standin.StreamPath+request.ID, "x"
			request.Prefix = "aa:500," + standin.EndingPart + ":400," + request.ID + ":100"
		}
		request.Header = http.Header{standin.BeforeHeader: {endingRun}}
		r.ends.recordSent(request.ID)
		_ = standin.Front(n.front).Do(ctx, request)
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

	// perFleet is how many targets may be terminated before all nodes know, if the copies arrive one after the other.
	perFleet int

	mu    sync.Mutex
	last  time.Time // when a target was terminated last
	extra int
	sent  map[string]bool // IDs of the requests that terminate targets
}

func (e *endingCheck) recordSent(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sent == nil {
		e.sent = make(map[string]bool)
	}
	e.sent[id] = true
}

// others returns the IDs of the requests that a node's log says were refused as quarantined, without those that
// terminate targets.
func (e *endingCheck) others(log string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for line := range strings.Lines(log) {
		if !strings.Contains(line, `"reason":"quarantined"`) {
			continue
		}
		_, rest, _ := strings.Cut(line, `"request":"`)
		if id, _, _ := strings.Cut(rest, `"`); !e.sent[id] {
			out = append(out, id)
		}
	}
	return out
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
	if ended > 0 && (time.Now().Before(recorded) || ended < e.perFleet-1 || e.storeDisrupted(e.last, recorded)) {
		e.extra += e.perFleet - 1
	}
}

// count returns how many targets were terminated and how many may be.
func (e *endingCheck) count() (ended, limit int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.journal.Ended(), e.perFleet + e.extra
}
