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
	// reportMaxAge is the age beyond which a target's report isn't used.
	reportMaxAge = 10 * time.Second
	// avoidDuration is how long the local estimate prefers other targets to one that failed a
	// request of this node.
	avoidDuration = 10 * time.Second
)

// TargetSource provides the current targets.
type TargetSource interface{ Snapshot() *targets.Snapshot }

// LocalEstimator estimates the load of targets from their last reports and from what this node has
// sent since. It places requests when no owner answers, and can also serve as an Admitter
// without owners, as a baseline for comparison.
type LocalEstimator struct {
	targets TargetSource
	now     func() time.Time

	mu    sync.Mutex
	loads map[string]*estimate
}

// estimate is one target's load as far as this node can compute it alone.
type estimate struct {
	own         int // requests of this node in flight
	reported    int
	reportedAt  time.Time
	reportCount int       // number of reports received
	sinceReport int       // own requests in flight that began after the report
	failed      time.Time // when a request of this node last failed; zero after an answer
}

func (e *estimate) load(now time.Time) int {
	if now.Sub(e.reportedAt) > reportMaxAge {
		return e.own
	}
	return max(e.own, e.reported+e.sinceReport)
}

// NewLocalEstimator returns a LocalEstimator for the node's targets.
func NewLocalEstimator(t TargetSource) *LocalEstimator {
	return &LocalEstimator{targets: t, now: time.Now, loads: make(map[string]*estimate)}
}

// ID implements kernel.Service.
func (l *LocalEstimator) ID() kernel.ID { return ServiceID }

// Observe records a target's report of its requests in flight. A report older than the last
// is ignored.
func (l *LocalEstimator) Observe(target string, inFlight int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.estimate(target)
	if at.Before(e.reportedAt) {
		return
	}
	e.reported, e.reportedAt, e.sinceReport = inFlight, at, 0
	e.reportCount++
}

// Acquire implements Admitter.
func (l *LocalEstimator) Acquire(_ context.Context, r Request) (Grant, error) {
	t, release, err := l.place(l.targets.Snapshot().Pool(r.Pool.Pool), r)
	if err != nil {
		return Grant{}, err
	}
	return Grant{Target: t, Release: releaseOnce(func(r Result) {
		release()
		l.recordResult(t.ID, r)
	})}, nil
}

// place picks the best-ranked target under the bound, preferring those that haven't failed
// recently, and counts the request on it. The returned function ends the count and must be
// called once.
func (l *LocalEstimator) place(pool []targets.Target, r Request) (targets.Target, func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	mean, ok := l.mean(pool, r, now)
	if !ok {
		return targets.Target{}, nil, problem.New(problem.NoTarget, problem.NotRun, r.Pool.Name).WithRetryAfter(saturatedRetryAfter)
	}
	best, bestScore, bestFailed := -1, uint64(0), false
	for i, t := range pool {
		bound := int(math.Ceil(r.Pool.LoadFactor * mean * float64(t.Capacity)))
		if !eligible(t, r) || l.load(t.ID, now) >= min(bound, r.Pool.MaxInFlight*t.Capacity) {
			continue
		}
		failed := l.failedRecently(t.ID, now)
		s := routing.Score(r.Chat, routing.Hash(t.ID))
		if best < 0 || bestFailed && !failed || bestFailed == failed && s > bestScore {
			best, bestScore, bestFailed = i, s, failed
		}
	}
	if best < 0 {
		return targets.Target{}, nil, problem.New(problem.Saturated, problem.NotRun, r.Pool.Name).WithRetryAfter(saturatedRetryAfter)
	}
	return pool[best], l.count(pool[best].ID), nil
}

// recordResult records the result of a request of this node.
func (l *LocalEstimator) recordResult(target string, r Result) {
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

func (l *LocalEstimator) failedRecently(target string, now time.Time) bool {
	e, ok := l.loads[target]
	return ok && now.Sub(e.failed) < avoidDuration
}

// countSent counts a request of this node until the returned function is called.
func (l *LocalEstimator) countSent(target string) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count(target)
}

func (l *LocalEstimator) count(target string) func() {
	e := l.estimate(target)
	e.own++
	e.sinceReport++
	epoch := e.reportCount
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		e.own--
		if e.reportCount == epoch {
			e.sinceReport--
		}
	}
}

// mean returns the mean load of a target of capacity 1, including the request to be placed,
// and whether there is any eligible target.
func (l *LocalEstimator) mean(pool []targets.Target, r Request, now time.Time) (float64, bool) {
	total, capacity := 1, 0
	for _, t := range pool {
		if eligible(t, r) {
			total += l.load(t.ID, now)
			capacity += t.Capacity
		}
	}
	return float64(total) / float64(max(capacity, 1)), capacity > 0
}

func (l *LocalEstimator) load(target string, now time.Time) int {
	if e, ok := l.loads[target]; ok {
		return e.load(now)
	}
	return 0
}

func (l *LocalEstimator) estimate(target string) *estimate {
	e, ok := l.loads[target]
	if !ok {
		e = &estimate{}
		l.loads[target] = e
	}
	return e
}

// expire removes targets that have no request of this node, no recent report and no recent
// failure.
func (l *LocalEstimator) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.loads {
		if e.own == 0 && now.Sub(e.reportedAt) > reportMaxAge && now.Sub(e.failed) > avoidDuration {
			delete(l.loads, id)
		}
	}
}

func eligible(t targets.Target, r Request) bool {
	return !t.Leaving && !slices.Contains(r.Exclude, t.ID)
}
