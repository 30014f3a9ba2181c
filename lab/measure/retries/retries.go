// Package retries measures on virtual time how much the retry policy adds to
// the load of the targets when a share of them fails every request they get,
// first with targets drawn at random, then with owners that place requests and
// suspend targets.
package retries

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/measure"
	"github.com/knapweedgw/knapweedgw/retry"
)

// The load: each node's share of the design size, and the gateway's limits.
const (
	ratePerNode = 12.4 // requests/s
	seconds     = 120
	maxAttempts = 3
	floor       = 0.1
	burst       = 10
	baseBackoff = 20 * time.Millisecond
	maxBackoff  = time.Second
)

// Section is the measurement; it implements measure.Section.
type Section struct{}

// Name implements measure.Section.
func (Section) Name() string { return "retries" }

// Row is one case.
type Row struct {
	Nodes int
	// Failing is the share of targets that fail all they get.
	Failing float64
	// Share is the retry budget; 1 or more never binds here.
	Share float64
	// Amplification is the attempts that reached targets over the requests.
	Amplification float64
	// Answered is the share of requests answered whole.
	Answered float64
	// BudgetEmpty is the share of requests given up for want of budget.
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
	var chosen Row
	for _, nodes := range []int{8, 53, 370} {
		for _, failing := range []float64{0.05, 0.25, 1} {
			for _, share := range []float64{0, 0.1, 0.2, 0.4, 3} {
				row := Simulate(nodes, failing, share, seed)
				if nodes == 370 && failing == 0.25 && share == 0.1 {
					chosen = row
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
		chosen.Nodes, chosen.Failing, chosen.Share, chosen.Amplification, chosen.Answered), nil
}

// attempt is a request's next attempt at a node.
type attempt struct {
	at     time.Time
	node   int
	number int
}

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

// Simulate sends repeatable requests through nodes while the given share of
// targets runs each request it gets and then fails it.
func Simulate(nodes int, failing, share float64, seed uint64) Row {
	rng := rand.New(rand.NewPCG(seed, uint64(nodes)))
	start := time.Unix(0, 0)
	cfg := retry.BudgetConfig{Share: share, Floor: floor, Burst: burst}
	budgets := make([]*retry.Budget, nodes)
	var q queue
	for n := range budgets {
		budgets[n] = retry.NewBudget(cfg, start)
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

func run(q *queue, budgets []*retry.Budget, row Row, rng *rand.Rand) Row {
	limits := retry.Limits{MaxAttempts: maxAttempts}
	backoff := retry.Backoff{Base: baseBackoff, Max: maxBackoff}
	var requests, attempts, answered, empty float64
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
		if !budgets[a.node].Take(a.at) {
			empty++
			continue
		}
		heap.Push(q, attempt{a.at.Add(backoff.Pause(a.number, rng)), a.node, a.number + 1})
	}
	row.Amplification = attempts / requests
	row.Answered = answered / requests
	row.BudgetEmpty = empty / requests
	return row
}
