package standin_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// Guards against overload of cold engines: the engines of a failure domain that came back
// crashed again. They looked idle to every node, so that each node sent its surplus load
// there, and a cold engine handles only few requests a second.

const (
	coldPerSecond = 10
	coldFor       = 3 * time.Second
)

// limitCold is a change to the configuration that limits the requests per second to cold
// engines.
func limitCold(cfg map[string]any) {
	for _, s := range cfg["services"].([]any) {
		service := s.(map[string]any)
		service["cold_per_s"], service["cold_start_s"] = coldPerSecond, coldFor.Seconds()
	}
}

func TestColdEnginesStayWithinTheirRateLimit(t *testing.T) {
	is, s := is.New(t), NewSite(t)
	s.Configure(limitCold)
	s.Start(3)
	var cold []*Engine
	for i := range 2 {
		e := NewEngine(t, fmt.Sprint("i-cold-", i), ServicePool, "zone-0", s.Journal)
		// The engines crash only above 1.5 times the limit: a node's view of the load that
		// others send is as old as their last report.
		e.ColdFor, e.ColdPerSecond = coldFor, coldPerSecond*3/2
		s.Store.Put("servers/"+e.ID, e.Entry("ready"))
		cold = append(cold, e)
	}
	s.Eventually("the nodes have the entries", func() bool { return allLogged(s, "i-cold-1") })

	var wg sync.WaitGroup
	refused := make([]int, len(s.Nodes))
	for i, n := range s.Nodes {
		wg.Go(func() {
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				if n.Do(Request{Path: SafePath}).Status != http.StatusOK {
					refused[i]++
				}
			}
		})
	}
	wg.Wait()
	is.Equal(refused, []int{0, 0, 0})
	for _, e := range cold {
		all, most := e.ColdArrivals()
		is.True(all > 0)
		is.True(most <= coldPerSecond*3/2)
	}
}
