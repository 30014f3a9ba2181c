// Package retries measures on virtual time how much load the retry policy adds
// to the targets while a share of them fails every request: first with targets
// chosen at random, then with admission owners that place requests and suspend
// targets.
package retries

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/measure"
	"github.com/knapweedgw/knapweedgw/retry"
)

// The load is each node's share of the load that the fleet is designed for; the
// retry limits are the gateway's.
const (
	ratePerNode = 12.4 // requests/s
	seconds     = 120
	maxAttempts = 3
	slack       = 20
	window      = 10 * time.Second
	reserve     = 0.05
	baseBackoff = 20 * time.Millisecond
	maxBackoff  = time.Second
	// unlimitedShare is the share at which nothing limits retries but the attempts of a request.
	unlimitedShare = maxAttempts
)

// Section is the measurement "retries"; it implements measure.Section.
type Section struct{}

// Name implements measure.Section.
func (Section) Name() string { return "retries" }

// Row is the result of Simulate.
type Row struct {
	Nodes int
	// Failing is the share of targets that fail every request.
	Failing float64
	// Share is the retry budget as a share of requests.
	Share float64
	// Amplification is the number of attempts that reached targets divided by
	// the number of requests.
	Amplification float64
	// Answered is the share of requests that succeeded.
	Answered float64
	// BudgetEmpty is the share of requests that weren't retried because the
	// budget was empty.
	BudgetEmpty float64
}

// Fields implements measure.Row.
func (r Row) Fields() []measure.Field {
	return []measure.Field{
		{Name: "nodes", Value: r.Nodes}, {Name: "failing", Value: r.Failing},
		{Name: "share", Value: r.Share}, {Name: "amplification", Value: r.Amplification},
		{Name: "answered", Value: r.Answered}, {Name: "budget_empty", Value: r.BudgetEmpty},
	}
}

// Run implements measure.Section.
func (s Section) Run(_ context.Context, r *measure.Reporter, seed uint64) (string, error) {
	var summarized Row
	for _, nodes := range []int{8, 53, 370} {
		for _, failing := range []float64{0.05, 0.25, 1} {
			for _, share := range []float64{0, 0.1, 0.2, 0.4, unlimitedShare} {
				row := Simulate(nodes, failing, share, seed)
				if nodes == 370 && failing == 0.25 && share == 0.1 {
					summarized = row
				}
				if err := r.Add(s.Name(), row); err != nil {
					return "", err
				}
			}
		}
	}
	for _, c := range cases() {
		if err := r.Add(s.Name(), SimulateCells(c, seconds*time.Second, seed)); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("retries: nodes=%d failing=%.2f share=%.2f amplification=%.3f answered=%.4f",
		summarized.Nodes, summarized.Failing, summarized.Share, summarized.Amplification, summarized.Answered), nil
}

// attempt is a scheduled attempt of a request that a node sends.
type attempt struct {
	at     time.Time
	node   int
	number int
}

// queue is a heap of attempts, earliest first.
type queue []attempt

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(attempt)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Simulate sends repeatable requests through the nodes while the given share of
// targets runs every request that it receives and then fails it.
func Simulate(nodes int, failing, share float64, seed uint64) Row {
	rng := rand.New(rand.NewPCG(seed, uint64(nodes)))
	start := time.Unix(0, 0)
	budgets := newWindows(nodes, share, start)
	var q queue
	for n := range budgets {
		for at := start; ; {
			at = at.Add(time.Duration(rng.ExpFloat64() / ratePerNode * float64(time.Second)))
			if at.Sub(start) >= seconds*time.Second {
				break
			}
			q = append(q, attempt{at, n, 1})
		}
	}
	heap.Init(&q)
	return run(&q, budgets, Row{Nodes: nodes, Failing: failing, Share: share}, rng)
}

// newWindows returns the retry budgets of nodes that have run for a while.
func newWindows(nodes int, share float64, now time.Time) []*retry.Window {
	cfg := retry.WindowConfig{Share: share, Slack: slack, Window: window, Reserve: reserve}
	if share >= unlimitedShare {
		cfg.Slack = math.MaxInt32
	}
	out := make([]*retry.Window, nodes)
	for i := range out {
		out[i] = retry.NewWindow(cfg, now.Add(-window))
	}
	return out
}

func run(q *queue, budgets []*retry.Window, row Row, rng *rand.Rand) Row {
	limits := retry.Limits{MaxAttempts: maxAttempts}
	backoff := retry.Backoff{Base: baseBackoff, Max: maxBackoff}
	var requests, attempts, answered, withoutBudget float64
	for q.Len() > 0 {
		a := heap.Pop(q).(attempt)
		attempts++
		if a.number == 1 {
			requests++
			budgets[a.node].Request(a.at)
		}
		if rng.Float64() >= row.Failing {
			answered++
			continue
		}
		failed := retry.Attempt{Number: a.number, Progress: retry.Sent, Repeatable: true, Remaining: retry.NoDeadline}
		if retry.Decide(failed, limits) != retry.Allow {
			continue
		}
		if _, d := budgets[a.node].Take(a.at, row.Nodes); !d.Allowed {
			withoutBudget++
			continue
		}
		heap.Push(q, attempt{a.at.Add(backoff.Pause(a.number, rng)), a.node, a.number + 1})
	}
	row.Amplification = attempts / requests
	row.Answered = answered / requests
	row.BudgetEmpty = withoutBudget / requests
	return row
}
