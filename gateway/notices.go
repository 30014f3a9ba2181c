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

// notices records, for each run of a target, what its responses announced to this node: that it
// is leaving, and cooldowns. A cooldown is the time for which a target asked, by Retry-After, to
// get no requests. It is safe for concurrent use.
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

func (n *notices) record(t targets.Target, announced notice.Notice, now time.Time) notice.Change {
	if announced == (notice.Notice{}) {
		return notice.Change{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	_, change := n.book.Record(runOf(t), announced, now, n.rng)
	return change
}

func (n *notices) maySend(t targets.Target, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.book.State(runOf(t)).MaySend(now)
}

func (n *notices) isLeaving(t targets.Target) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.book.State(runOf(t)).Leaving()
}

func (n *notices) cooldownFor(t targets.Target, now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.book.State(runOf(t)).CooldownLeft(now)
}

// coolingDown returns the IDs of the pool's targets in a cooldown. If all others are leaving, or
// there are none, wait is the time until the first cooldown ends; otherwise it is 0.
func (n *notices) coolingDown(pool []targets.Target, now time.Time) (ids []string, wait time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.book.InCooldown(now) {
		return nil, 0
	}
	others := false
	for _, t := range pool {
		left := n.book.State(runOf(t)).CooldownLeft(now)
		switch {
		case left > 0:
			ids = append(ids, t.ID)
			if wait == 0 || left < wait {
				wait = left
			}
		case !t.Leaving:
			others = true
		}
	}
	if others {
		wait = 0
	}
	return ids, wait
}

// processNotices records what a response announces about its target. It runs before the response
// itself is evaluated.
func (g *Gateway) processNotices(c *call, t targets.Target, resp *http.Response) {
	now := time.Now()
	n := notice.FromHeader(resp.StatusCode, resp.Header, now)
	n.Leaving = resp.Header.Get(HeaderEndpointState) == stateLeaving
	if n.Leaving && g.leaving != nil {
		g.leaving.ObserveLeaving(t.ID, t.Incarnation)
	}
	if change := g.notices.record(t, n, now); change != (notice.Change{}) {
		notice.Report(c.log().With("target", t.ID, "incarnation", t.Incarnation, "status", resp.StatusCode), g.metrics.notices, n, change)
	}
	if g.loads == nil {
		return
	}
	if load, ok := reportedLoad(resp.Header.Get(HeaderLoadReport)); ok {
		g.loads.Observe(t.ID, load, now)
	}
}

// coolingDown returns the targets of a pool in a cooldown, as notices.coolingDown does.
func (g *Gateway) coolingDown(pool string) (ids []string, wait time.Duration) {
	if g.targets == nil {
		return nil, 0
	}
	return g.notices.coolingDown(g.targets.Snapshot().Pool(pool), time.Now())
}

// withCooldown sets the Retry-After of a no_target refusal to the time until the first cooldown
// ends.
func withCooldown(err error, cooldown time.Duration) error {
	var p *problem.Problem
	if cooldown > 0 && errors.As(err, &p) && p.Reason == problem.NoTarget {
		return p.WithRetryAfter(cooldown)
	}
	return err
}
