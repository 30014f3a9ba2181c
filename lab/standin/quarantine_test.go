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

// What was seen: targets of one service ended one after the other, 21 within 17 s. Each
// had begun to run the same request, which its caller sent again and again, to whichever
// node. How it came about: a run that ends its target ends the caller's attempt as well,
// so that the next one is new to every node. What caused it: no node remembered a request
// beyond one attempt, and the nodes told each other nothing of it. What proved it: of 19
// copies in the logs each ran once in an attempt of its own, at six nodes, five of which
// saw it only twice.

const (
	// mostEnded is how many targets a request whose copies come one by one may end in
	// all: three, by which it is known, and one on the way of that news.
	mostEnded = 4
	// moreAtOnce is how many more copies that run at the same moment may end.
	moreAtOnce = 3
	// endingPause is the time between two copies, and endingRun how long one runs, as in
	// the incident.
	endingPause = 400 * time.Millisecond
	endingRun   = "50"
)

// endingRequest is a copy of a request that ends its target.
func endingRequest(path string) Request {
	return Request{Path: path + "same", Body: EndingBody, Header: http.Header{BeforeHeader: {endingRun}}}
}

// revive starts the engines again that have ended, under their IDs.
func revive(s *Site, ended map[*Engine]bool) {
	for e := range ended {
		e.Restart()
		s.Store.Put("servers/"+e.ID, e.Entry("ready"))
	}
	clear(ended)
}

// noteEnded adds the engine that ran the attempt with the given ID.
func noteEnded(s *Site, id string, ended map[*Engine]bool) {
	for _, run := range s.Journal.Runs(id) {
		i := slices.IndexFunc(s.Engines(), func(e *Engine) bool { return e.ID == run.Engine })
		ended[s.Engines()[i]] = true
	}
}

// sendEnding sends rounds of copies, one to each of the given number of nodes at the
// same moment, and starts ended engines again before the next round.
func sendEnding(s *Site, path string, rounds, atOnce int) []Answer {
	var mu sync.Mutex
	var answers []Answer
	ended := make(map[*Engine]bool)
	for round := range rounds {
		var copies sync.WaitGroup
		for i := range atOnce {
			n := s.Nodes[(round+i)%len(s.Nodes)]
			copies.Go(func() {
				a := n.Do(endingRequest(path))
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
				noteEnded(s, a.ID, ended)
			})
		}
		copies.Wait()
		time.Sleep(endingPause)
		revive(s, ended)
	}
	return answers
}

// A request that ends each target that runs it ends few, at whichever nodes its copies
// come, and is refused then.
func TestRequestThatEndsItsTargets(t *testing.T) {
	const rounds = 9
	for name, tt := range map[string]struct {
		path   string
		atOnce int
		most   int
	}{
		"one by one":                  {StreamPath, 1, mostEnded},
		"one by one, plain":           {UnsafePath, 1, mostEnded},
		"one by one, may be repeated": {SafePath, 1, mostEnded},
		"one by one, may be resumed":  {ResumePath, 1, mostEnded},
		"three at the same moment":    {StreamPath, 3, mostEnded + moreAtOnce},
	} {
		t.Run(name, func(t *testing.T) {
			is, s := is.New(t), start(t, 3)
			answers := sendEnding(s, tt.path, rounds, tt.atOnce)
			t.Log("targets ended:", s.Journal.Ended())
			is.True(s.Journal.Ended() <= tt.most)
			last := answers[len(answers)-1]
			is.Equal(last.Status, http.StatusServiceUnavailable) // not run, and it won't be
			is.Equal(len(s.Journal.Runs(last.ID)), 0)
		})
	}
}

// What the nodes know of such a request outlasts all of them.
func TestRequestThatEndsItsTargetsIsKnownAfterAllNodesEnd(t *testing.T) {
	is, s := is.New(t), start(t, 3)
	_ = sendEnding(s, StreamPath, 6, 1)
	before := s.Journal.Ended()
	s.StopAll()
	s.Start(3)
	_ = sendEnding(s, StreamPath, 3, 1)
	t.Log("targets ended:", before, "and after all nodes began anew:", s.Journal.Ended())
	is.True(s.Journal.Ended() <= mostEnded)
}

// A request that shared its target with a harmful one is served by its retry, and its
// later copies are served as ever.
func TestRequestBesideAHarmfulOneIsServed(t *testing.T) {
	is, s := is.New(t), NewSite(t)
	s.Adjust = func(cfg *config.RouterNode) { cfg.RetryAllowance = 1000 } // each copy is repeated
	s.Start(3)
	beside := Request{Path: ResumePath + "beside", Body: "x", Header: http.Header{BeforeHeader: {"150"}}}
	ended := make(map[*Engine]bool)
	for round := range 6 {
		var work sync.WaitGroup
		for i := range 2 * len(s.Nodes) { // some share the target of the harmful copy
			work.Go(func() {
				a := s.Nodes[i%len(s.Nodes)].Do(beside)
				if a.Status != http.StatusOK || a.Err != nil {
					t.Errorf("round %d: status %d, error %v", round, a.Status, a.Err)
				}
			})
		}
		a := s.Nodes[round%len(s.Nodes)].Do(endingRequest(StreamPath))
		noteEnded(s, a.ID, ended)
		work.Wait()
		revive(s, ended)
		time.Sleep(endingPause)
	}
	is.True(s.Journal.Ended() <= mostEnded)
}

// A target that loses its answers and lives has not ended: the request is run again and
// again, as its caller sends it.
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

// Nobody puts another caller's request into quarantine by sending the same one.
func TestQuarantineIsOfOneCaller(t *testing.T) {
	is, s := is.New(t), start(t, 2)
	s.Configure(func(cfg map[string]any) {
		cfg["tenants"] = append(cfg["tenants"].([]any), map[string]any{"name": "tenant-two", "api_keys": []string{"key-other"}})
	})
	s.Eventually("the other workspace is known", func() bool {
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
