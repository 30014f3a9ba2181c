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
type witness struct {
	mu   sync.Mutex
	runs map[string]int
}

func (w *witness) run(r *http.Request) {
	id, _, _ := strings.Cut(r.Header.Get(HeaderRequestID), "~")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
}

func (w *witness) count(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// behaviours are what a target may do; those that run the request tell the
// witness.
func behaviours(w *witness) []http.HandlerFunc {
	return []http.HandlerFunc{
		func(rw http.ResponseWriter, r *http.Request) { // answers
			w.run(r)
			_, _ = io.WriteString(rw, "{}")
		},
		func(_ http.ResponseWriter, r *http.Request) { // runs, then loses the answer
			w.run(r)
			panic(http.ErrAbortHandler)
		},
		func(rw http.ResponseWriter, r *http.Request) { // runs, then cuts the answer
			w.run(r)
			rw.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(rw, "{")
			flush(rw)
			panic(http.ErrAbortHandler)
		},
		func(rw http.ResponseWriter, r *http.Request) { // runs, then fails
			w.run(r)
			rw.WriteHeader(http.StatusInternalServerError)
		},
		func(rw http.ResponseWriter, _ *http.Request) { // says that it ran nothing
			problem.New(problem.Saturated, problem.RanNo, "").Write(rw)
		},
		func(rw http.ResponseWriter, r *http.Request) { // refuses, a service after a partial effect
			if r.URL.Path != chatPath {
				w.run(r)
			}
			rw.WriteHeader(http.StatusServiceUnavailable)
		},
		func(http.ResponseWriter, *http.Request) { // breaks before it runs
			panic(http.ErrAbortHandler)
		},
	}
}

// Whatever the targets do, "not run" is true, a request that may not be
// repeated runs at most once also when its caller repeats its key, and an
// answer was run.
func TestTruth(t *testing.T) {
	w := &witness{runs: make(map[string]int)}
	var hs []http.Handler
	for _, b := range behaviours(w) {
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
		path := rapid.SampledFrom([]string{chatPath, letters, "/services/s/search"}).Draw(rt, "path")
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
			runs := w.count(id)
			if a.problem.Ran == problem.RanNo && runs != before {
				rt.Fatalf("told %q, but it was run", a.problem.Detail)
			}
			if a.status == http.StatusOK && runs == 0 {
				rt.Fatalf("answered, but not run")
			}
			before = runs
		}
		if (keyed || path == letters) && before > 1 {
			rt.Fatalf("ran %d times", before)
		}
	})
}
