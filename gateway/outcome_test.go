package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/targets"
)

func notRunTarget() *target {
	return &target{handler: func(w http.ResponseWriter, _ *http.Request) {
		problem.New(problem.Saturated, problem.NotRun, "").Write(w)
	}}
}

// The refusal that a caller receives agrees with what the targets ran.
func TestOutcomes(t *testing.T) {
	const letter, search, read = "POST /services/s/letters", "POST /services/s/search", "GET /services/s/works"
	const readOnce, chat = "GET /services/s/notices/1", "POST " + chatPath
	tests := []struct {
		name    string
		call    string
		targets []*target
		status  int
		reason  problem.Reason
		ran     problem.Execution
		runs    []int
	}{
		{"chat refused, then answered", chat, []*target{statusTarget(503), okTarget()}, 200, "", "", []int{1, 1}},
		{"chat refused everywhere", chat, []*target{statusTarget(503), statusTarget(429)}, 503, problem.NoTarget, problem.NotRun, []int{1, 1}},
		{"chat aborted, then answered", chat, []*target{abortTarget(), okTarget()}, 200, "", "", []int{1, 1}},
		{"chat aborted, then no target", chat, []*target{abortTarget()}, 503, problem.NoTarget, problem.MayHaveRun, []int{1}},
		{"chat aborted, then refused", chat, []*target{abortTarget(), statusTarget(503)}, 503, problem.NoTarget, problem.MayHaveRun, []int{1, 1}},
		{"chat aborted at every attempt", chat, []*target{abortTarget(), abortTarget(), abortTarget(), okTarget()}, 502, problem.TargetFailed, problem.MayHaveRun, []int{1, 1, 1, 0}},
		{"chat 500, then answered", chat, []*target{statusTarget(500), okTarget()}, 200, "", "", []int{1, 1}},
		{"chat 500, then no target", chat, []*target{statusTarget(500)}, 500, "", "", []int{1}},
		{"chat 500, then refused", chat, []*target{statusTarget(500), statusTarget(503)}, 500, "", "", []int{1, 1}},
		{"read 502, then aborted", read, []*target{statusTarget(502), abortTarget(), abortTarget()}, 502, "", "", []int{1, 1, 1}},
		{"read 500, then 504", read, []*target{statusTarget(500), statusTarget(504)}, 504, "", "", []int{1, 1}},
		{"chat's own 400", chat, []*target{statusTarget(400), okTarget()}, 400, "", "", []int{1, 0}},
		{"letter aborted", letter, []*target{abortTarget(), okTarget()}, 502, problem.TargetFailed, problem.MayHaveRun, []int{1, 0}},
		{"letter's own 503 may follow a partial effect", letter, []*target{statusTarget(503), okTarget()}, 503, "", "", []int{1, 0}},
		{"letter's own 500", letter, []*target{statusTarget(500), okTarget()}, 500, "", "", []int{1, 0}},
		{"letter declared not run, then answered", letter, []*target{notRunTarget(), okTarget()}, 200, "", "", []int{1, 1}},
		{"letter declared not run everywhere", letter, []*target{notRunTarget()}, 503, problem.NoTarget, problem.NotRun, []int{1}},
		{"unrepeatable GET aborted", readOnce, []*target{abortTarget(), okTarget()}, 502, problem.TargetFailed, problem.MayHaveRun, []int{1, 0}},
		{"read aborted, then answered", read, []*target{abortTarget(), okTarget()}, 200, "", "", []int{1, 1}},
		{"read 503, then answered", read, []*target{statusTarget(503), okTarget()}, 200, "", "", []int{1, 1}},
		{"read 503, then no target", read, []*target{statusTarget(503)}, 503, problem.NoTarget, problem.MayHaveRun, []int{1}},
		{"repeatable POST aborted, then answered", search, []*target{abortTarget(), okTarget()}, 200, "", "", []int{1, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := newNode(t, handlers(tt.targets...))
			method, path, body := split(tt.call)
			a := n.send(t, method, path, keyA, body)
			is.NoErr(a.err)
			is.Equal(a.status, tt.status)
			is.Equal(a.problem.Reason, tt.reason)
			is.Equal(a.problem.Execution, tt.ran)
			for i, want := range tt.runs {
				is.Equal(tt.targets[i].count(), want)
			}
			is.True(n.released())
			if tt.ran == problem.MayHaveRun {
				is.Equal(a.header.Get("X-Should-Retry"), "false")
				is.Equal(a.header.Get("Retry-After"), "") // doesn't advise the caller to repeat it
			}
		})
	}
}

func split(call string) (method, path, body string) {
	for i := range call {
		if call[i] == ' ' {
			method, path = call[:i], call[i+1:]
			break
		}
	}
	if method == "POST" {
		body = chatBody
	}
	return method, path, body
}

// A target that can't be reached ran nothing, so even an unrepeatable request is sent to the
// next target, without using the retry budget.
func TestUnreachableTarget(t *testing.T) {
	for _, path := range []string{"/services/s/letters", chatPath} {
		is := is.New(t)
		up := okTarget()
		n := newNode(t, handlers(up), withConfig(func(c *config.Node) { c.RetryShare = 0 }))
		down := targets.Target{ID: "down", Addr: closedAddr(t)}
		n.admitter.targets = append([]targets.Target{down}, n.admitter.targets...)
		for range 2 * retrySlack {
			is.Equal(n.send(t, "POST", path, keyA, chatBody).status, 200)
		}
		is.Equal(up.count(), 2*retrySlack)
		n.admitter.targets = []targets.Target{down}
		is.True(n.send(t, "POST", path, keyA, chatBody).isRefusal(problem.NoTarget, problem.NotRun))
	}
}

func closedAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// droppingTarget responds to the first request on each connection and closes the connection when
// it has read a second, as a server does whose idle timeout coincides with a new request. It
// counts the requests that it read.
type droppingTarget struct {
	ln   net.Listener
	runs atomic.Int32
}

func newDroppingTarget(t *testing.T) *droppingTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &droppingTarget{ln: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go d.serve()
	return d
}

func (d *droppingTarget) serve() {
	for {
		conn, err := d.ln.Accept()
		if err != nil {
			return
		}
		go d.serveConn(conn)
	}
}

func (d *droppingTarget) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	buf := make([]byte, 64<<10)
	for n := 0; n < 2; n++ {
		if _, err := conn.Read(buf); err != nil {
			return
		}
		d.runs.Add(1)
		if n == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
	}
}

// net/http's transport repeats a request without a body on a fresh connection if a pooled one
// breaks, when the method is idempotent or an Idempotency-Key is set. A request that isn't
// repeatable must not run twice that way.
func TestTransportDoesNotRepeat(t *testing.T) {
	tests := []struct{ name, method, path, key string }{
		{"POST with key and no body", "POST", "/services/s/letters", "k"},
		{"unrepeatable GET", "GET", "/services/s/notices/1", ""},
		{"DELETE with key", "DELETE", "/services/s/letters/1", "k"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDroppingTarget(t)
			claimer := newFakeClaimer()
			n := newNode(t, nil, withClaimer(claimer))
			n.admitter.targets = []targets.Target{{ID: "t1", Addr: d.ln.Addr().String()}}
			// A repeatable request leaves a pooled connection.
			is.Equal(n.send(t, "GET", "/services/s/works", keyA, "").status, 200)
			var header []string
			if tt.key != "" {
				header = []string{HeaderIdempotencyKey, tt.key}
			}
			a := n.send(t, tt.method, tt.path, keyA, "", header...)
			is.True(d.runs.Load() <= 2) // the second request is run at most once
			if a.status != 200 {
				is.Equal(a.problem.Execution, problem.MayHaveRun)
			}
		})
	}
}

// Without retry budget, a failed request is refused at once, with the outcome of its attempt.
func TestRetryBudget(t *testing.T) {
	const burst = 10
	is := is.New(t)
	n := newNode(t, handlers(statusTarget(503), okTarget()), withConfig(func(c *config.Node) { c.RetryShare = 0 }))
	answered := 0
	for range 3 * burst {
		a := n.chat(t, chatBody)
		if a.status == 200 {
			answered++
			continue
		}
		is.True(a.isRefusal(problem.RetryBudgetExhausted, problem.NotRun))
		is.Equal(a.header.Get("Retry-After"), "1")
	}
	is.True(answered >= burst)
	is.True(answered < 3*burst)
	is.True(testutil.ToFloat64(n.Gateway.metrics.retries.WithLabelValues(string(problem.TargetRefused))) >= burst)
}

// hangingTarget never responds. It closes the returned channel when a request's context ends.
func hangingTarget() (*target, chan struct{}) {
	ended := make(chan struct{})
	var once sync.Once
	return &target{handler: func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		once.Do(func() { close(ended) })
		panic(http.ErrAbortHandler)
	}}, ended
}

// The caller's deadline ends the request at the target, and the target receives the deadline.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	tg, ended := hangingTarget()
	n := newNode(t, handlers(tg))
	a := n.chat(t, chatBody, HeaderRequestTimeout, "0.2")
	is.Equal(a.status, 504)
	is.True(a.isRefusal(problem.DeadlineExceeded, problem.MayHaveRun))
	is.True(tg.header(0).Get(HeaderRequestTimeout) != "")
	<-ended
	is.True(n.released())
}

// A caller that disconnects cancels a repeatable request at the target; an unrepeatable one runs
// to its end.
func TestCallerGoesAway(t *testing.T) {
	is := is.New(t)
	tg, ended := hangingTarget()
	n := newNode(t, handlers(tg))
	n.sendAndDisconnect(t, tg, "POST", chatPath)
	<-ended
	eventually(t, func() bool { return n.refused(problem.CallerGone) == 1 && n.released() })

	var contextAlive atomic.Bool
	finish := make(chan struct{})
	unrepeatable := &target{handler: func(w http.ResponseWriter, r *http.Request) {
		<-finish
		contextAlive.Store(r.Context().Err() == nil)
		_, _ = io.WriteString(w, "{}")
	}}
	n = newNode(t, handlers(unrepeatable))
	n.sendAndDisconnect(t, unrepeatable, "POST", "/services/s/letters")
	close(finish)
	eventually(t, n.released)
	is.True(contextAlive.Load())
}

// sendAndDisconnect sends a request and disconnects once the target has received it.
func (n *node) sendAndDisconnect(t *testing.T, tg *target, method, path string, header ...string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, n.url+path, strings.NewReader(chatBody))
	req.Header.Set("Authorization", "Bearer "+keyA)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	eventually(t, func() bool { return tg.count() > 0 })
	cancel()
	<-done
}

// eventually waits until ok returns true, for about 10 s.
func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for range 10_000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("state not reached")
}

// A failure response too large to hold while another target is tried is delivered completely,
// and the request isn't retried.
func TestLargeFailureIsDelivered(t *testing.T) {
	const failureSize = 64 << 10
	is := is.New(t)
	large := &target{handler: func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write(make([]byte, 2*failureSize))
	}}
	next := okTarget()
	n := newNode(t, handlers(large, next))
	a := n.send(t, http.MethodGet, "/services/s/works", keyA, "")
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusInternalServerError)
	is.Equal(len(a.body), 2*failureSize)
	is.Equal(next.count(), 0)
}

// A held failure response is delivered with its headers and the ID of the target that sent it.
func TestHeldFailureIsDeliveredUnchanged(t *testing.T) {
	is := is.New(t)
	failing := &target{handler: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte(`{"error":"out of memory"}`))
	}}
	n := newNode(t, handlers(failing))
	a := n.send(t, http.MethodPost, chatPath, keyA, chatBody)
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusInternalServerError)
	is.Equal(a.body, `{"error":"out of memory"}`)
	is.Equal(a.header.Get("Content-Type"), "application/json")
	is.True(a.header.Get(HeaderTarget) != "")
}
