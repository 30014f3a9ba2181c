package standin_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/config"
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
			if !strings.Contains(s.Nodes[0].Logs.String(), `"via":"127.0.0.`) && tt.fault != PathRefuse {
				t.Error("no line names the node that carried a request")
			}
			t.Logf("partitioned nodes served %d of %d, the others %d of %d",
				partitioned.served, partitioned.sent, others.served, others.sent)
			if partitioned.share() < leastShare*others.share() || others.share() < leastShare {
				t.Errorf("failures at partitioned nodes: %v, at the others: %v", partitioned.failures, others.failures)
			}
		})
	}
}

// cut applies a fault to the paths of some nodes.
func cut(nodes []*Node, f PathFault) {
	for _, n := range nodes {
		n.Engines.SetFault(f)
	}
}

// Guards against innocent requests being quarantined by all nodes: a partition that resets open
// connections and refuses new ones looked like the end of every target under its requests.
func TestPartitionQuarantinesNothing(t *testing.T) {
	s := start(t, 8)
	for range 4 {
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				s.Nodes[i%len(s.Nodes)].Do(Request{Path: UnsafePath + "same", Body: "x", Header: http.Header{BeforeHeader: {"600"}}})
			})
		}
		time.Sleep(300 * time.Millisecond) // the requests are in progress
		cut(s.Nodes[:5], PathReset)
		wg.Wait()
		cut(s.Nodes, PathOpen)
		time.Sleep(500 * time.Millisecond)
	}
	for _, n := range s.Nodes {
		for _, line := range []string{"target ended under a request", "request quarantined"} {
			if count := strings.Count(n.Logs.String(), line); count > 0 {
				t.Errorf("%s: %d lines %q, though no target ended", n.Config.NodeID, count, line)
			}
		}
	}
}

// Guards against refusals that name another cause, or hold callers: a node without any path says so at
// once, and serves again when its path is back. No node has one, so that callers aren't sent on to the
// next at once.
func TestNodeWithoutAnyPathSaysSo(t *testing.T) {
	is, s := is.New(t), start(t, 2)
	sendFirstTries(s, 0, 500*time.Millisecond)
	cut(s.Nodes, PathReset)
	sendFirstTries(s, 0, time.Second)
	for i := range 20 {
		begun := time.Now()
		a := s.Nodes[i%2].Do(Request{Path: UnsafePath, Body: "x"})
		is.NoErr(a.Err)
		is.Equal(a.Status, http.StatusServiceUnavailable)
		is.True(strings.Contains(a.Body, `"error":"no_path"`))
		is.True(strings.Contains(a.Body, `"ran":"no"`))
		is.Equal(len(s.Journal.Runs(a.ID)), 0)
		after, err := time.ParseDuration(a.Header.Get("Retry-After") + "s")
		is.NoErr(err)
		is.True(after > 0 && after <= time.Second) // a third of the caller's time
		is.True(time.Since(begun) < time.Second)
	}
	cut(s.Nodes, PathOpen)
	s.Eventually("both nodes serve again", func() bool {
		return s.Nodes[0].Do(Request{Path: UnsafePath, Body: "x"}).Status == http.StatusOK &&
			s.Nodes[1].Do(Request{Path: UnsafePath, Body: "x"}).Status == http.StatusOK
	})
}

// Guards against callers that are harmed by the end of the node that carries their connections: it is
// stopped in order, killed, or cut off itself. What was sent isn't repeated unless it may be, what
// wasn't goes through another node.
func TestNodeThatCarriesConnectionsEnds(t *testing.T) {
	for name, end := range map[string]func(*Node){
		"stopped": func(n *Node) { go n.Stop(context.Background()) },
		"killed": func(n *Node) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			n.Stop(ctx)
		},
		"cut off": func(n *Node) { n.Engines.SetFault(PathReset) },
	} {
		t.Run(name, func(t *testing.T) {
			is, s := is.New(t), start(t, 4)
			cut(s.Nodes[:1], PathReset)
			sendFirstTries(s, 1, contact)
			var wg sync.WaitGroup
			for k := range 100 {
				wg.Go(func() {
					time.Sleep(time.Duration(k) * 20 * time.Millisecond)
					path := []string{StreamPath, UnsafePath}[k%2]
					a := s.Nodes[0].Do(Request{Path: path, Body: "x", Header: http.Header{BeforeHeader: {"100"}}})
					runs := len(s.Journal.Runs(a.ID))
					if runs > 1 || runs == 1 && a.Status == http.StatusServiceUnavailable {
						t.Errorf("%s: %d runs, status %d", a.ID, runs, a.Status)
					}
					if a.Status == http.StatusOK && path == UnsafePath && a.Body != "whole answer to "+a.ID {
						t.Errorf("%s: a success with body %q", a.ID, a.Body)
					}
				})
			}
			time.Sleep(500 * time.Millisecond)
			end(s.Nodes[1])
			time.Sleep(500 * time.Millisecond)
			end(s.Nodes[2])
			wg.Wait()
			served := &firstTries{}
			for range 20 {
				served.add(s.Nodes[0].Do(Request{Path: UnsafePath, Body: "x"}))
			}
			t.Log("failures after the ends:", served.failures)
			is.Equal(served.served, served.sent)
		})
	}
}

// Guards against a target that works on for a caller that has left, if another node carries the
// connection.
func TestCallerLeavesARequestThatAnotherNodeCarries(t *testing.T) {
	is, s := is.New(t), start(t, 2)
	cut(s.Nodes[:1], PathReset)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	id := NewID()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Nodes[0].DoContext(ctx, Request{ID: id, Path: StreamPath, Body: "x", Header: http.Header{BeforeHeader: {"2500"}}})
	}()
	s.Eventually("the request runs", func() bool { return len(s.Journal.Runs(id)) == 1 })
	cancel()
	left := time.Now()
	<-done
	s.Eventually("its run is canceled", func() bool { return s.Journal.Runs(id)[0].Canceled })
	is.True(time.Since(left) < 500*time.Millisecond)
}

// Guards against a partitioned node that depends on nodes of an earlier release, which carry no
// connections.
func TestPartitionedNodeAmongNodesThatCarryNothing(t *testing.T) {
	s := NewSite(t)
	s.AdjustConfig = func(cfg *config.RouterNode) {
		if cfg.NodeID != "node-0" && cfg.NodeID != "node-4" {
			cfg.TunnelListen = ""
		}
	}
	s.Start(5)
	cut(s.Nodes[:1], PathHang)
	sendFirstTries(s, 1, contact)
	partitioned, _ := sendFirstTries(s, 1, observed)
	if partitioned.share() < leastShare {
		t.Errorf("served %d of %d: %v", partitioned.served, partitioned.sent, partitioned.failures)
	}
}

// Guards against a node that goes on using other nodes, and prices their links and processors, when its
// own path is back.
func TestRestoredPathIsUsedAgain(t *testing.T) {
	is, s := is.New(t), start(t, 2)
	cut(s.Nodes[:1], PathReset)
	sendFirstTries(s, 1, time.Second)
	before := s.Nodes[0].Engines.Dials()
	cut(s.Nodes, PathOpen)
	s.Eventually("the path is restored", func() bool {
		s.Nodes[0].Do(Request{Path: UnsafePath, Body: "x"})
		return strings.Contains(s.Nodes[0].Logs.String(), "paths to targets restored")
	})
	helper := s.Nodes[1].Engines.Dials()
	for range 50 {
		is.Equal(s.Nodes[0].Do(Request{Path: UnsafePath, Body: "x"}).Status, http.StatusOK)
	}
	is.True(s.Nodes[0].Engines.Dials() > before)
	is.Equal(s.Nodes[1].Engines.Dials(), helper)
}

// Guards against requests that are cut off, answered with an error or recorded as ending their targets,
// since all targets of their service fall silent for a second or so and then go on.
func TestSilentTargetsGoOn(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 1500 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			s := start(t, 3)
			sendFirstTries(s, 0, 500*time.Millisecond)
			var wg sync.WaitGroup
			for i := range 30 {
				path, body := UnsafePath, ""
				if i%2 == 0 {
					path = StreamPath
				}
				wg.Go(func() {
					a := s.Nodes[i%3].Do(Request{Path: path, Body: "x", Header: http.Header{BeforeHeader: {"400"}}})
					if body = "whole answer to " + a.ID; path == StreamPath {
						body = WholeStream(a.ID, DefaultEvents)
					}
					if a.Err != nil || a.Status != http.StatusOK || a.Body != body {
						t.Errorf("%s: status %d, error %v, body %.80q", path, a.Status, a.Err, a.Body)
					}
					if n := len(s.Journal.Runs(a.ID)); n != 1 {
						t.Errorf("%s ran %d times", path, n)
					}
				})
			}
			time.Sleep(200 * time.Millisecond) // the requests are in progress
			cut(s.Nodes, PathHang)
			time.Sleep(silence)
			cut(s.Nodes, PathOpen)
			wg.Wait()
			s.Eventually("all targets are used again", func() bool {
				served := &firstTries{}
				for i := range 12 {
					served.add(s.Nodes[i%3].Do(Request{Path: UnsafePath, Body: "x"}))
				}
				return served.served == served.sent
			})
			for _, n := range s.Nodes {
				if strings.Contains(n.Logs.String(), "target ended under a request") {
					t.Errorf("%s recorded the end of a target", n.Config.NodeID)
				}
			}
		})
	}
}
