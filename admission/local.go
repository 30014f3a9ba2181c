package admission

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/routing"
	"github.com/knapweedgw/knapweedgw/targets"
)

const (
	saturatedRetryAfter = 2 * time.Second
	// reportMaxAge is the age from which a target's report no longer counts.
	reportMaxAge = 10 * time.Second
	// avoidTime is how long the estimate prefers other targets to one that
	// failed a request of this node.
	avoidTime = 10 * time.Second
)

// TargetSource gives the current targets.
type TargetSource interface{ Snapshot() *targets.Snapshot }

// Local estimates load from what targets last reported and what this node has
// sent since. It is the baseline, and the fallback when no owner answers.
type Local struct {
	targets TargetSource
	now     func() time.Time

	mu    sync.Mutex
	loads map[string]*estimate
}

// estimate is what a node knows of one target's load by itself.
type estimate struct {
	own      int // requests of this node in flight
	reported int
	at       time.Time
	epoch    int       // number of reports
	since    int       // own requests in flight that began after the report
	failed   time.Time // when a request of this node last failed; zero after an answer
}

func (e *estimate) load(now time.Time) int {
	if now.Sub(e.at) > reportMaxAge {
		return e.own
	}
	return max(e.own, e.reported+e.since)
}

// NewLocal returns a Local over the node's targets.
func NewLocal(t TargetSource) *Local {
	return &Local{targets: t, now: time.Now, loads: make(map[string]*estimate)}
}

// ID implements kernel.Service.
func (l *Local) ID() kernel.ID { return ServiceID }

// Observe takes a target's report of its requests in flight. A report older
// than the last is ignored.
func (l *Local) Observe(target string, inFlight int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.estimate(target)
	if at.Before(e.at) {
		return
	}
	e.reported, e.at, e.since = inFlight, at, 0
	e.epoch++
}

// Acquire implements Admitter.
func (l *Local) Acquire(_ context.Context, r Request) (Grant, error) {
	t, release, err := l.place(l.targets.Snapshot().Pool(r.Pool.Pool), r)
	if err != nil {
		return Grant{}, err
	}
	return Grant{Target: t, Release: releaseOnce(func(r Result) {
		release()
		l.ended(t.ID, r)
	})}, nil
}

// place counts the request on the best-ranked target under the bound, if
// possible one that hasn't failed of late. The returned function must be called
// once.
func (l *Local) place(pool []targets.Target, r Request) (targets.Target, func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	mean, ok := l.mean(pool, r, now)
	if !ok {
		return targets.Target{}, nil, problem.New(problem.NoTarget, problem.RanNo, r.Pool.Name).After(saturatedRetryAfter)
	}
	best, bestScore, bestFailed := -1, uint64(0), false
	for i, t := range pool {
		bound := int(math.Ceil(r.Pool.LoadFactor * mean * float64(t.Capacity)))
		if !eligible(t, r) || l.load(t.ID, now) >= min(bound, r.Pool.MaxInFlight*t.Capacity) {
			continue
		}
		failed := l.failedOfLate(t.ID, now)
		s := routing.Score(r.Chat, routing.Hash(t.ID))
		if best < 0 || bestFailed && !failed || bestFailed == failed && s > bestScore {
			best, bestScore, bestFailed = i, s, failed
		}
	}
	if best < 0 {
		return targets.Target{}, nil, problem.New(problem.Saturated, problem.RanNo, r.Pool.Name).After(saturatedRetryAfter)
	}
	return pool[best], l.count(pool[best].ID), nil
}

// ended takes the result of a request of this node.
func (l *Local) ended(target string, r Result) {
	if r == Unknown {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r == Failed {
		l.estimate(target).failed = l.now()
	} else if e, ok := l.loads[target]; ok {
		e.failed = time.Time{}
	}
}

func (l *Local) failedOfLate(target string, now time.Time) bool {
	e, ok := l.loads[target]
	return ok && now.Sub(e.failed) < avoidTime
}

// sent counts a request of this node until the returned function is called.
func (l *Local) sent(target string) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count(target)
}

func (l *Local) count(target string) func() {
	e := l.estimate(target)
	e.own++
	e.since++
	epoch := e.epoch
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		e.own--
		if e.epoch == epoch {
			e.since--
		}
	}
}

// mean is the load of a target of capacity 1 with the request to be placed. It
// also says whether there is any eligible target.
func (l *Local) mean(pool []targets.Target, r Request, now time.Time) (float64, bool) {
	total, capacity := 1, 0
	for _, t := range pool {
		if eligible(t, r) {
			total += l.load(t.ID, now)
			capacity += t.Capacity
		}
	}
	return float64(total) / float64(max(capacity, 1)), capacity > 0
}

func (l *Local) load(target string, now time.Time) int {
	if e, ok := l.loads[target]; ok {
		return e.load(now)
	}
	return 0
}

func (l *Local) estimate(target string) *estimate {
	e, ok := l.loads[target]
	if !ok {
		e = &estimate{}
		l.loads[target] = e
	}
	return e
}

// expire forgets the targets without a request of this node or a report that
// still counts.
func (l *Local) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.loads {
		if e.own == 0 && now.Sub(e.at) > reportMaxAge && now.Sub(e.failed) > avoidTime {
			delete(l.loads, id)
		}
	}
}

func eligible(t targets.Target, r Request) bool {
	return !t.Leaving && !slices.Contains(r.Exclude, t.ID)
}
