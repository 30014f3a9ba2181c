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

const saturatedRetryAfter = 2 * time.Second

// TargetSource gives the current targets.
type TargetSource interface{ Snapshot() *targets.Snapshot }

// Local admits by the requests that this node itself has in flight. It is the
// baseline, and the fallback when no admission owner answers.
type Local struct {
	targets TargetSource

	mu       sync.Mutex
	inFlight map[string]int
}

// NewLocal returns a Local over the node's targets.
func NewLocal(t TargetSource) *Local {
	return &Local{targets: t, inFlight: make(map[string]int)}
}

// ID implements kernel.Service.
func (l *Local) ID() kernel.ID { return ServiceID }

// Acquire implements Admitter.
func (l *Local) Acquire(_ context.Context, r Request) (Grant, error) {
	candidates := eligible(l.targets.Snapshot().Pool(r.Pool.Pool), r.Exclude)
	if len(candidates) == 0 {
		return Grant{}, problem.New(problem.NoTarget, problem.RanNo, r.Pool.Name).After(saturatedRetryAfter)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limit(candidates, r)
	for _, i := range rank(candidates, r.Chat) {
		t := candidates[i]
		if l.inFlight[t.ID] < limit {
			return l.grant(t), nil
		}
	}
	return Grant{}, problem.New(problem.Saturated, problem.RanNo, r.Pool.Name).After(saturatedRetryAfter)
}

func (l *Local) grant(t targets.Target) Grant {
	l.inFlight[t.ID]++
	var once sync.Once
	release := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.inFlight[t.ID]--
	}
	return Grant{Target: t, Release: func() { once.Do(release) }}
}

// limit is ceil(c × mean), where the mean counts the request to be placed.
func (l *Local) limit(candidates []targets.Target, r Request) int {
	total := 1
	for _, t := range candidates {
		total += l.inFlight[t.ID]
	}
	bound := int(math.Ceil(r.Pool.LoadFactor * float64(total) / float64(len(candidates))))
	return min(bound, r.Pool.MaxInFlight)
}

func eligible(pool []targets.Target, exclude []string) []targets.Target {
	return slices.DeleteFunc(slices.Clone(pool), func(t targets.Target) bool {
		return t.Leaving || slices.Contains(exclude, t.ID)
	})
}

func rank(candidates []targets.Target, chat uint64) []int {
	hashes := make([]uint64, len(candidates))
	for i, t := range candidates {
		hashes[i] = routing.Hash(t.ID)
	}
	return routing.Top(nil, chat, hashes, len(hashes))
}
