package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/problem"
)

// endingTarget is a target that a request with a certain word in its body ends.
type endingTarget struct {
	addr string

	mu     sync.Mutex
	server *http.Server
	ends   int
}

const endingWord = "ends its target"

var endingChat = strings.Replace(chatBody, "hello", endingWord, 1)

func (e *endingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // a request that is cut off ends nothing
	if !strings.Contains(string(body), endingWord) {
		okTarget().ServeHTTP(w, r)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ends++
	_ = e.server.Close()
	panic(http.ErrAbortHandler)
}

// listen starts the target, again if it has ended.
func (e *endingTarget) listen(t *testing.T) {
	t.Helper()
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: e}
	e.mu.Lock()
	e.server = server
	e.mu.Unlock()
	go func() { _ = server.Serve(ln) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
}

func (e *endingTarget) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ends
}

// restartPause is more than a target takes to start again, as the guard sees it.
const restartPause = 300 * time.Millisecond

// Copies of a request that ends its targets end three of them; then it is refused, with
// and without an idempotency key, and others are served.
func TestRequestThatEndsItsTargets(t *testing.T) {
	is := is.New(t)
	n := newNode(t, handlers(okTarget(), okTarget(), okTarget()))
	var all []*endingTarget
	for i := range n.admitter.targets {
		e := &endingTarget{addr: freeAddr(t)}
		e.listen(t)
		n.admitter.targets[i].Addr = e.addr
		all = append(all, e)
	}
	ends := func() (sum int) {
		for _, e := range all {
			sum += e.count()
		}
		return sum
	}
	const copies = 4
	for range copies {
		before := make([]int, len(all))
		for i, e := range all {
			before[i] = e.count()
		}
		_ = n.chat(t, endingChat)
		time.Sleep(restartPause)
		for i, e := range all {
			if e.count() > before[i] {
				e.listen(t)
			}
		}
	}
	is.Equal(ends(), 3)
	a := n.chat(t, endingChat)
	is.True(a.is(problem.Quarantined, problem.RanNo))
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(a.header.Get("Retry-After") != "")
	is.Equal(n.chat(t, chatBody).status, http.StatusOK)
	is.True(n.released())
}

func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// A target that loses its answers and lives has not ended.
func TestLostAnswersQuarantineNothing(t *testing.T) {
	is := is.New(t)
	cut := cutTarget()
	n := newNode(t, handlers(cut))
	for range 5 {
		is.True(!n.chat(t, chatBody).is(problem.Quarantined, problem.RanNo))
	}
	is.Equal(cut.count(), 5)
}
