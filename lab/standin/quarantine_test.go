package standin_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/config"
	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// Guards against a request that ends one target after the other. In the incident, 21
// targets of one service ended within 17 s. Each had begun to run the same request, which its
// caller sent again and again, to any node. A run that ends its target also ends the caller's
// attempt, so that the next attempt was new to every node: no node kept state about a request
// beyond one attempt, and the nodes exchanged none. The logs confirmed it: each of 19 copies
// ran once in an attempt of its own, at six nodes, five of which received it only twice.

const (
	// maxEnded is how many targets a request may end in all if its copies are sent one by one:
	// three until it is quarantined, and one while the quarantine propagates.
	maxEnded = 4
	// maxMoreConcurrent is how many more may be ended by copies that run concurrently.
	maxMoreConcurrent = 3
	// endingPause is the time between two copies, and endingRun how long one runs in
	// milliseconds, both as in the incident.
	endingPause = 400 * time.Millisecond
	endingRun   = "50"
)

// endingRequest returns a copy of a request that ends its target.
func endingRequest(path string) Request {
	return Request{Path: path + "same", Body: EndingBody, Header: http.Header{BeforeHeader: {endingRun}}}
}

// restartEnded restarts the ended engines with the same IDs and clears the set.
func restartEnded(s *Site, ended map[*Engine]bool) {
	for e := range ended {
		e.Restart()
		s.Store.Put("servers/"+e.ID, e.Entry("ready"))
	}
	clear(ended)
}

// addEnded adds the engine that ran the attempt with the given request ID.
func addEnded(s *Site, id string, ended map[*Engine]bool) {
	for _, run := range s.Journal.Runs(id) {
		i := slices.IndexFunc(s.Engines(), func(e *Engine) bool { return e.ID == run.Engine })
		ended[s.Engines()[i]] = true
	}
}

// sendEnding sends rounds of copies, one to each of the given number of nodes concurrently,
// and restarts ended engines before the next round.
func sendEnding(s *Site, path string, rounds, concurrent int) []Answer {
	var mu sync.Mutex
	var answers []Answer
	ended := make(map[*Engine]bool)
	for round := range rounds {
		var copies sync.WaitGroup
		for i := range concurrent {
			n := s.Nodes[(round+i)%len(s.Nodes)]
			copies.Go(func() {
				a := n.Do(endingRequest(path))
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
				addEnded(s, a.ID, ended)
			})
		}
		copies.Wait()
		time.Sleep(endingPause)
		restartEnded(s, ended)
	}
	return answers
}

// A request that ends each target that runs it ends only a few targets, whichever nodes
// receive its copies, and is then refused.
func TestRequestThatEndsItsTargets(t *testing.T) {
	const rounds = 9
	for name, tt := range map[string]struct {
		path       string
		concurrent int
		maxEnded   int
	}{
		"one by one":                  {StreamPath, 1, maxEnded},
		"one by one, plain":           {UnsafePath, 1, maxEnded},
		"one by one, may be repeated": {SafePath, 1, maxEnded},
		"one by one, may be resumed":  {ResumePath, 1, maxEnded},
		"three at the same moment":    {StreamPath, 3, maxEnded + maxMoreConcurrent},
	} {
		t.Run(name, func(t *testing.T) {
			is, s := is.New(t), start(t, 3)
			answers := sendEnding(s, tt.path, rounds, tt.concurrent)
			t.Log("targets ended:", s.Journal.Ended())
			is.True(s.Journal.Ended() <= tt.maxEnded)
			last := answers[len(answers)-1]
			is.Equal(last.Status, http.StatusServiceUnavailable) // not run, and later copies will not run either
			is.Equal(len(s.Journal.Runs(last.ID)), 0)
		})
	}
}

// The quarantine of a request survives a restart of all nodes.
func TestQuarantineSurvivesRestartOfAllNodes(t *testing.T) {
	is, s := is.New(t), start(t, 3)
	_ = sendEnding(s, StreamPath, 6, 1)
	before := s.Journal.Ended()
	s.StopAll()
	s.Start(3)
	_ = sendEnding(s, StreamPath, 3, 1)
	t.Log("targets ended:", before, "and after the restart of all nodes:", s.Journal.Ended())
	is.True(s.Journal.Ended() <= maxEnded)
}

// A request that shared its target with one that ends its targets is served by its retry, and
// its later copies are served as usual.
func TestRequestBesideAnEndingOneIsServed(t *testing.T) {
	is, s := is.New(t), NewSite(t)
	s.AdjustConfig = func(cfg *config.RouterNode) { cfg.RetryAllowance = 1000 } // enough to retry each copy
	s.Start(3)
	s.AwaitRetrySlack()
	beside := Request{Path: ResumePath + "beside", Body: "x", Header: http.Header{BeforeHeader: {"150"}}}
	ended := make(map[*Engine]bool)
	for round := range 6 {
		var requests sync.WaitGroup
		for i := range 2 * len(s.Nodes) { // some share the target of the ending copy
			requests.Go(func() {
				a := s.Nodes[i%len(s.Nodes)].Do(beside)
				if a.Status != http.StatusOK || a.Err != nil {
					t.Errorf("round %d: status %d, error %v", round, a.Status, a.Err)
				}
			})
		}
		a := s.Nodes[round%len(s.Nodes)].Do(endingRequest(StreamPath))
		addEnded(s, a.ID, ended)
		requests.Wait()
		restartEnded(s, ended)
		time.Sleep(endingPause)
	}
	is.True(s.Journal.Ended() <= maxEnded)
}

// A target that drops its answers without terminating does not put the request into
// quarantine: it is run each time its caller sends it.
func TestLostAnswersQuarantineNothing(t *testing.T) {
	is, s := is.New(t), start(t, 2)
	for _, e := range s.Plain {
		e.SetFault(Drop, -1)
	}
	for i := range 6 {
		a := s.Nodes[i%2].Do(Request{Path: UnsafePath + "same", Body: "x"})
		is.Equal(a.Status, http.StatusBadGateway)
		is.Equal(len(s.Journal.Runs(a.ID)), 1)
	}
}

// A quarantined request of one caller does not affect the same request of a caller from
// another workspace.
func TestQuarantineIsPerCaller(t *testing.T) {
	is, s := is.New(t), start(t, 2)
	s.Configure(func(cfg map[string]any) {
		cfg["tenants"] = append(cfg["tenants"].([]any), map[string]any{"name": "tenant-two", "api_keys": []string{"key-other"}})
	})
	s.Eventually("the other workspace is configured", func() bool {
		return s.Nodes[0].Do(Request{Path: SafePath, Key: "key-other"}).Status == http.StatusOK
	})
	_ = sendEnding(s, StreamPath, 4, 1)
	refused := s.Nodes[0].Do(endingRequest(StreamPath))
	is.Equal(refused.Status, http.StatusServiceUnavailable)
	is.True(refused.Header.Get("Retry-After") != "")
	others := endingRequest(StreamPath)
	others.Key = "key-other"
	is.Equal(len(s.Journal.Runs(s.Nodes[0].Do(others).ID)), 1)
}
