package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/targets"
)

// witness counts what targets ran, by the caller's request ID.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) run(r *http.Request) {
	id, _, _ := strings.Cut(r.Header.Get(HeaderRequestID), "~")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

func (c *runCounter) count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// targetBehaviours returns what targets may do. Those that run the request count it in c.
func targetBehaviours(c *runCounter) []http.HandlerFunc {
	return []http.HandlerFunc{
		func(rw http.ResponseWriter, r *http.Request) { // responds
			c.run(r)
			_, _ = io.WriteString(rw, "{}")
		},
		func(_ http.ResponseWriter, r *http.Request) { // runs, then closes the connection without a response
			c.run(r)
			panic(http.ErrAbortHandler)
		},
		func(rw http.ResponseWriter, r *http.Request) { // runs, then truncates the response
			c.run(r)
			rw.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(rw, "{")
			flush(rw)
			panic(http.ErrAbortHandler)
		},
		func(rw http.ResponseWriter, r *http.Request) { // runs, then responds with a failure
			c.run(r)
			rw.WriteHeader(http.StatusInternalServerError)
		},
		func(rw http.ResponseWriter, _ *http.Request) { // refuses and states that it ran nothing
			problem.New(problem.Saturated, problem.NotRun, "").Write(rw)
		},
		func(rw http.ResponseWriter, r *http.Request) { // refuses, a service after a partial effect
			if r.URL.Path != chatPath {
				c.run(r)
			}
			rw.WriteHeader(http.StatusServiceUnavailable)
		},
		func(http.ResponseWriter, *http.Request) { // closes the connection before it runs the request
			panic(http.ErrAbortHandler)
		},
	}
}

// Whatever the targets do: a refusal with ran "no" means that no target ran the request, an
// unrepeatable request runs at most once even if its caller repeats its key, and a request with
// a successful response was run.
func TestResponsesMatchExecutions(t *testing.T) {
	counter := &runCounter{runs: make(map[string]int)}
	var hs []http.Handler
	for _, b := range targetBehaviours(counter) {
		hs = append(hs, b)
	}
	claimer := newFakeClaimer()
	n := newNode(t, hs, withClaimer(claimer))
	pool := append(n.admitter.targets, targets.Target{ID: "down", Addr: closedAddr(t)})
	serial := 0
	rapid.Check(t, func(rt *rapid.T) {
		serial++
		id := fmt.Sprintf("r%d", serial)
		order := rapid.Permutation(pool).Draw(rt, "order")
		n.admitter.targets = order[:rapid.IntRange(0, len(order)).Draw(rt, "live")]
		path := rapid.SampledFrom([]string{chatPath, lettersPath, "/services/s/search"}).Draw(rt, "path")
		header := []string{HeaderRequestID, id}
		sends := 1
		keyed := rapid.Bool().Draw(rt, "keyed")
		if keyed {
			header = append(header, HeaderIdempotencyKey, id)
			sends = rapid.IntRange(1, 3).Draw(rt, "sends")
		}
		before := 0
		for range sends {
			a := n.send(t, "POST", path, keyA, chatBody, header...)
			if keyed {
				claimer.finished(t, id)
			}
			runs := counter.count(id)
			if a.problem.Execution == problem.NotRun && runs != before {
				rt.Fatalf("refused as not run (%q), but it was run", a.problem.Detail)
			}
			if a.status == http.StatusOK && runs == 0 {
				rt.Fatalf("successful response, but not run")
			}
			before = runs
		}
		if (keyed || path == lettersPath) && before > 1 {
			rt.Fatalf("ran %d times", before)
		}
	})
}
