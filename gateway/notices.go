package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/notice"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/targets"
)

// notices are what targets said of themselves to this node.
type notices struct {
	mu   sync.Mutex
	book *notice.Book
	rng  *rand.Rand
}

func newNotices() *notices {
	return &notices{
		book: notice.NewBook(notice.DefaultRuns),
		rng:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

func runOf(t targets.Target) notice.Run { return notice.Run{Target: t.ID, Incarnation: t.Incarnation} }

func (n *notices) hear(t targets.Target, said notice.Notice, now time.Time) notice.Change {
	if said == (notice.Notice{}) {
		return notice.Change{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	_, change := n.book.Hear(runOf(t), said, now, n.rng)
	return change
}

func (n *notices) maySend(t targets.Target, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.book.State(runOf(t)).MaySend(now)
}

func (n *notices) restFor(t targets.Target, now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.book.State(runOf(t)).RestFor(now)
}

// resting returns those of a pool that rest. If no other is left, rest is how much longer
// the first of them does.
func (n *notices) resting(pool []targets.Target, now time.Time) (ids []string, rest time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.book.Resting(now) {
		return nil, 0
	}
	others := false
	for _, t := range pool {
		left := n.book.State(runOf(t)).RestFor(now)
		switch {
		case left > 0:
			ids = append(ids, t.ID)
			if rest == 0 || left < rest {
				rest = left
			}
		case !t.Leaving:
			others = true
		}
	}
	if others {
		rest = 0
	}
	return ids, rest
}

// hear takes what an answer says of its target, before anything is decided on the answer.
func (g *Gateway) hear(c *call, t targets.Target, resp *http.Response) {
	now := time.Now()
	n := notice.FromHeader(resp.StatusCode, resp.Header, now)
	n.Leaving = resp.Header.Get(HeaderEndpointState) == stateLeaving
	if n.Leaving && g.leaving != nil {
		g.leaving.ObserveLeaving(t.ID, t.Incarnation)
	}
	if change := g.notices.hear(t, n, now); change != (notice.Change{}) {
		notice.Report(c.log().With("target", t.ID, "incarnation", t.Incarnation, "status", resp.StatusCode), g.metrics.notices, n, change)
	}
	if g.loads == nil {
		return
	}
	if load, ok := reportedLoad(resp.Header.Get(HeaderLoadReport)); ok {
		g.loads.Observe(t.ID, load, now)
	}
}

// resting returns the targets of a pool that rest, as notices.resting does.
func (g *Gateway) resting(pool string) (ids []string, rest time.Duration) {
	if g.targets == nil {
		return nil, 0
	}
	return g.notices.resting(g.targets.Snapshot().Pool(pool), time.Now())
}

// afterRest has a caller that found no target come back when the first rest ends.
func afterRest(err error, rest time.Duration) error {
	var p *problem.Problem
	if rest > 0 && errors.As(err, &p) && p.Reason == problem.NoTarget {
		return p.After(rest)
	}
	return err
}
