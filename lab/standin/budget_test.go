package standin_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// Guards against retries of a whole fleet that exceed its budget when all nodes are killed again and
// again while all engines reject: each process that started had forgotten what the one before it had spent.
func TestRetriesStayWithinTheBudgetWhileNodesAreKilled(t *testing.T) {
	const (
		nodes, kills = 3, 8
		perRound     = 30
	)
	s := start(t, nodes)
	for _, e := range s.Plain {
		e.SetFault(Refuse, -1)
	}
	var requests []time.Time
	for round := range kills + 1 {
		if round > 0 {
			s.StopAll()
			s.Start(nodes)
		}
		var wg sync.WaitGroup
		for k := range perRound {
			requests = append(requests, time.Now())
			wg.Go(func() { s.Nodes[k%nodes].Do(Request{Path: SafePath}) })
		}
		wg.Wait()
	}
	repeats := s.Journal.Repeats(func(string) bool { return true })
	cfg := s.Nodes[0].Config
	budget := RetryBudget{Share: cfg.RetryShare, Slack: cfg.RetryAllowance, Window: cfg.RetryWindow}
	t.Logf("%d requests, %d repeats in %v", len(requests), len(repeats), time.Since(requests[0]))
	if excess := budget.Exceeded(requests, repeats); excess != "" {
		t.Error(excess)
	}
}
