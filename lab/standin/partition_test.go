package standin_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

const (
	// contact is how long after the begin of a partition its effects on callers are allowed.
	contact = 3 * time.Second
	// firstTryInterval is the time between two first tries at each node, observed is for how long
	// they are sent.
	firstTryInterval = 40 * time.Millisecond
	observed         = 1500 * time.Millisecond
	// leastShare is how often the first tries at partitioned nodes have to be served, as a share of
	// those at the others.
	leastShare = 0.98
)

// firstTries counts the first tries of callers at some nodes.
type firstTries struct {
	mu           sync.Mutex
	sent, served int
	failures     map[string]int
}

func (f *firstTries) add(a Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	if a.Err == nil && a.Status == http.StatusOK {
		f.served++
		return
	}
	if f.failures == nil {
		f.failures = make(map[string]int)
	}
	f.failures[fmt.Sprintf("%d %v %.200s", a.Status, a.Err, a.Body)]++
}

func (f *firstTries) share() float64 { return float64(f.served) / float64(max(f.sent, 1)) }

// sendFirstTries sends requests of each kind to all nodes for d and counts those at the first cut
// nodes and those at the others.
func sendFirstTries(s *Site, cut int, d time.Duration) (partitioned, others *firstTries) {
	partitioned, others = &firstTries{}, &firstTries{}
	paths := []string{StreamPath, UnsafePath, ResumePath, SafePath}
	var wg sync.WaitGroup
	for i, n := range s.Nodes {
		counter := others
		if i < cut {
			counter = partitioned
		}
		for k := 0; k < int(d/firstTryInterval); k++ {
			wg.Go(func() {
				time.Sleep(time.Duration(k) * firstTryInterval)
				counter.add(n.Do(Request{Path: paths[k%len(paths)], Body: "x"}))
			})
		}
	}
	wg.Wait()
	return partitioned, others
}

// Guards against callers of a node that is partitioned from all targets being refused, although the
// other nodes are answered by these targets: the node had no way to a target but its own path.
func TestPartitionedNodeServesThroughOtherNodes(t *testing.T) {
	for _, tt := range []struct {
		fault      PathFault
		nodes, cut int
	}{
		{PathHang, 3, 1}, {PathHang, 8, 5}, {PathReset, 8, 5}, {PathRefuse, 8, 5}, {PathOneWay, 8, 5},
	} {
		t.Run(fmt.Sprintf("%s, %d of %d", tt.fault, tt.cut, tt.nodes), func(t *testing.T) {
			s := start(t, tt.nodes)
			sendFirstTries(s, tt.cut, time.Second) // so that nodes have open connections
			for _, n := range s.Nodes[:tt.cut] {
				n.Engines.SetFault(tt.fault)
			}
			sendFirstTries(s, tt.cut, contact)
			partitioned, others := sendFirstTries(s, tt.cut, observed)
			t.Logf("partitioned nodes served %d of %d, the others %d of %d",
				partitioned.served, partitioned.sent, others.served, others.sent)
			if partitioned.share() < leastShare*others.share() || others.share() < leastShare {
				t.Errorf("failures at partitioned nodes: %v, at the others: %v", partitioned.failures, others.failures)
			}
		})
	}
}
