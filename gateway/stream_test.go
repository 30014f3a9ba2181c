package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/knapweedgw/knapweedgw/claims"
	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/settings"
)

// sseEngine streams total tokens. It can resume the stream of a request ID that it ran before.
type sseEngine struct {
	total int
	// script holds the fault of each connection, in order; further connections have none.
	script []fault

	mu       sync.Mutex
	conns    int
	runs     map[string]int // by X-Request-Id, without resumptions
	canceled []string
	holds    []string // X-Resume-Hold of each connection
	waiting  chan struct{}
}

type fault struct {
	interruptAfter int  // the ID of the last token before the connection is closed; 0 to keep it open
	partial        bool // the connection is closed within an event
	resumeLate     bool // resumes one event too late
	resumeEarly    bool // resumes one event too early
	unreachable    bool // closes the connection without a response
	notHeld        bool // responds to a resumption with 410
	hang           bool // keeps the connection open without sending instead of closing it
}

func newSSEEngine(total int, script ...fault) *sseEngine {
	return &sseEngine{total: total, script: script, runs: make(map[string]int), waiting: make(chan struct{})}
}

func (e *sseEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	f, held := e.connect(r)
	if r.Method == http.MethodDelete {
		return
	}
	if f.unreachable {
		panic(http.ErrAbortHandler)
	}
	last, _ := strconv.Atoi(r.Header.Get(HeaderLastEventID))
	if last > 0 && (f.notHeld || !held) {
		w.WriteHeader(http.StatusGone)
		return
	}
	w.Header().Set("Content-Type", eventStream)
	if last > 0 && f.resumeLate {
		last++
	}
	if last > 0 && f.resumeEarly {
		last--
	}
	for i := last + 1; i <= e.total; i++ {
		if f.interruptAfter > 0 && i > f.interruptAfter {
			e.interrupt(w, r, f)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"<%d>\"}}]}\n\n", i, i)
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func (e *sseEngine) connect(r *http.Request) (f fault, held bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get(HeaderRequestID)
	if r.Method == http.MethodDelete {
		e.canceled = append(e.canceled, r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
		return f, false
	}
	e.holds = append(e.holds, r.Header.Get(HeaderResumeHold))
	if e.conns < len(e.script) {
		f = e.script[e.conns]
	}
	e.conns++
	held = e.runs[id] > 0
	if r.Header.Get(HeaderLastEventID) == "" {
		e.runs[id]++
	}
	return f, held
}

func (e *sseEngine) interrupt(w http.ResponseWriter, r *http.Request, f fault) {
	if f.partial {
		_, _ = io.WriteString(w, "id: 999\ndata: {\"choices\":[{\"delta\"")
	}
	flush(w)
	if f.hang {
		close(e.waiting)
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

func (e *sseEngine) ran() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.runs {
		n += r
	}
	return n
}

// tokens returns the tokens in a stream, such as "123", and whether the stream has its end
// marker.
func tokens(body string) (got string, complete bool) {
	sc := bufio.NewScanner(strings.NewReader(body))
	for sc.Scan() {
		line := sc.Text()
		if _, rest, ok := strings.Cut(line, "<"); ok {
			n, _, _ := strings.Cut(rest, ">")
			got += n
		}
		complete = complete || line == "data: [DONE]"
	}
	return got, complete
}

const openingChunkText = "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":\"\"}}]}\n\n"
const opening = ": keepalive\n\n" + openingChunkText
const overloaded = `data: {"error":{"type":"service_unavailable_error","code":"server_is_overloaded"}}` + "\n\n"

func overloadTarget(before string) *target {
	return &target{handler: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", eventStream)
		_, _ = io.WriteString(w, before+overloaded)
	}}
}

func TestStreams(t *testing.T) {
	tests := []struct {
		name     string
		script   []fault
		tokens   string
		complete bool
	}{
		{"whole", nil, "12345", true},
		{"interrupted and resumed", []fault{{interruptAfter: 2}}, "12345", true},
		{"interrupted within an event and resumed", []fault{{interruptAfter: 2, partial: true}}, "12345", true},
		{"interrupted before the end marker", []fault{{interruptAfter: 4}, {interruptAfter: 4}}, "12345", true},
		{"interrupted repeatedly", []fault{{interruptAfter: 1}, {interruptAfter: 2}, {interruptAfter: 3}, {interruptAfter: 4}}, "12345", true},
		{"unreachable for a while", []fault{{interruptAfter: 2}, {unreachable: true}, {unreachable: true}, {unreachable: true}, {unreachable: true}}, "12345", true},
		{"interrupted too often", []fault{{interruptAfter: 1}, {interruptAfter: 1}, {interruptAfter: 1}, {interruptAfter: 1}, {interruptAfter: 1}, {interruptAfter: 1}}, "1", false},
		{"no longer held", []fault{{interruptAfter: 2}, {notHeld: true}}, "12", false},
		{"resumed too early", []fault{{interruptAfter: 3}, {resumeEarly: true}}, "12345", true},
		{"resumed too late", []fault{{interruptAfter: 3}, {resumeLate: true}}, "123", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e, second := newSSEEngine(5, tt.script...), newSSEEngine(5)
			n := newNode(t, []http.Handler{e, second})
			a := n.chat(t, streamReq)
			is.NoErr(a.err)
			is.Equal(a.status, 200)
			got, complete := tokens(a.body)
			is.Equal(got, tt.tokens)
			is.Equal(complete, tt.complete)
			is.Equal(strings.Contains(a.body, "event: error"), !tt.complete)
			if !complete {
				is.True(strings.Contains(a.body, `"ran":"unknown"`))
			}
			is.Equal(e.ran(), 1)
			is.Equal(second.ran(), 0)
		})
	}
}

// A stream interrupted when only opening events had arrived is retried on another target at
// once, even if it could be resumed.
func TestStreamInterruptedDuringHold(t *testing.T) {
	for _, id := range []string{"", "id: 1\n"} {
		is := is.New(t)
		aborting := &target{handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", eventStream)
			_, _ = io.WriteString(w, ": keepalive\n\n"+id+openingChunkText)
			flush(w)
			panic(http.ErrAbortHandler)
		}}
		n := newNode(t, []http.Handler{aborting, newSSEEngine(3)})
		got, complete := tokens(n.chat(t, streamReq).body)
		is.Equal(got, "123")
		is.True(complete)
		is.Equal(aborting.count(), 1)
	}
}

// Event IDs must be consecutive only after a resumption; other engines may number their events
// differently.
func TestEventIDsOfOtherEngines(t *testing.T) {
	is := is.New(t)
	e := &target{handler: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", eventStream)
		for i := range 4 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"content\":\"<%d>\"}\n\n", 10*i, i)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}}
	n := newNode(t, handlers(e))
	got, complete := tokens(n.chat(t, streamReq).body)
	is.Equal(got, "0123")
	is.True(complete)
}

// A refusal for overload after opening events is retried on another target, unless the opening
// events were already delivered.
func TestHiddenOverload(t *testing.T) {
	content := "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"
	tool := "data: {\"choices\":[{\"delta\":{\"tool_calls\":[{}]}}]}\n\n"
	noHold := withConfig(func(c *config.Node) { c.StreamHold = 0 })
	tests := []struct {
		name   string
		before string
		opts   []option
		retry  bool
	}{
		{"at once", "", nil, true},
		{"behind opening events", opening, nil, true},
		{"behind a token", opening + content, nil, false},
		{"behind a tool call", tool, nil, false},
		{"behind an unknown event", "data: {\"type\":\"x\"}\n\n", nil, false},
		{"behind more events than are held", strings.Repeat(": keepalive\n\n", maxHeldEvents), nil, false},
		{"behind more bytes than are held", ":" + strings.Repeat(" ", maxHeldBytes) + "\n\n", nil, false},
		{"without a hold", opening, []option{noHold}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			second := newSSEEngine(3)
			n := newNode(t, []http.Handler{overloadTarget(tt.before), second}, tt.opts...)
			a := n.chat(t, streamReq)
			is.Equal(a.status, 200)
			got, complete := tokens(a.body)
			is.Equal(complete, tt.retry)
			is.Equal(strings.Contains(a.body, "event: error"), !tt.retry)
			if tt.retry {
				is.Equal(got, "123")
				is.True(!strings.Contains(a.body, "keepalive"))
			} else {
				is.Equal(second.ran(), 0)
			}
		})
	}
}

// If every engine refuses for overload inside its stream, the caller gets a refusal with a
// status, and ran is "no".
func TestHiddenOverloadEverywhere(t *testing.T) {
	is := is.New(t)
	n := newNode(t, handlers(overloadTarget(opening)))
	a := n.chat(t, streamReq)
	is.Equal(a.status, 503)
	is.True(a.isRefusal(problem.NoTarget, problem.NotRun))
}

// firstEvents reads a stream until count events have arrived, disconnects, and returns the last
// ID and the tokens.
func (n *node) firstEvents(t *testing.T, count int, header ...string) (lastID, got string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", n.url+chatPath, strings.NewReader(streamReq))
	req.Header.Set("Authorization", "Bearer "+keyA)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	sc := bufio.NewScanner(resp.Body)
	for body := ""; count > 0 && sc.Scan(); got, _ = tokens(body) {
		body += sc.Text() + "\n"
		if id, ok := strings.CutPrefix(sc.Text(), "id: "); ok {
			lastID = id
		}
		if sc.Text() == "" {
			count--
		}
	}
	return lastID, got
}

// A caller that asked for a hold can disconnect and get the rest of its stream through any node.
// Another workspace can't, nor can another request ID of the same workspace.
func TestReconnect(t *testing.T) {
	is := is.New(t)
	e := newSSEEngine(5, fault{interruptAfter: 2, hang: true})
	one, two := newNode(t, []http.Handler{e}), newNode(t, nil)
	two.targets.pool = one.targets.pool
	last, got := one.firstEvents(t, 2, HeaderRequestID, "r1", HeaderResumeHold, "5")
	is.Equal(got, "12")
	<-e.waiting
	eventually(t, one.released)
	is.Equal(len(e.canceled), 0)
	is.Equal(e.holds, []string{"5"})

	otherWorkspace := two.send(t, "POST", chatPath, keyB, streamReq, HeaderRequestID, "r1", HeaderLastEventID, last)
	is.Equal(otherWorkspace.status, 410)
	is.True(otherWorkspace.isRefusal(problem.StreamNotResumable, problem.MayHaveRun))
	forged := "r1~" + workspaceDigest(settings.WorkspaceRef{Team: "a", Name: "wa"}, strings.Repeat("0", 32))
	otherWorkspace = two.send(t, "POST", chatPath, keyB, streamReq, HeaderRequestID, forged, HeaderLastEventID, last)
	is.Equal(otherWorkspace.status, 410)
	otherRequest := two.send(t, "POST", chatPath, keyA, streamReq, HeaderRequestID, "r2", HeaderLastEventID, last)
	is.Equal(otherRequest.status, 410)

	rest := two.send(t, "POST", chatPath, keyA, streamReq, HeaderRequestID, "r1", HeaderLastEventID, last)
	is.Equal(rest.status, 200)
	got, complete := tokens(rest.body)
	is.Equal(got, "345")
	is.True(complete)
	is.Equal(e.ran(), 1)
}

// setIncarnation gives all targets an incarnation.
func (f *fakeTargets) setIncarnation(i int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool = slices.Clone(f.pool)
	for k := range f.pool {
		f.pool[k].Incarnation = i
	}
}

// Guards against a stream being continued by a later run of its target, which may have other software, since
// that has the ID, the address and the generation of the one that began it.
func TestStreamIsNotContinuedByALaterRun(t *testing.T) {
	t.Run("by the caller", func(t *testing.T) {
		is := is.New(t)
		e := newSSEEngine(5, fault{interruptAfter: 2, hang: true})
		n := newNode(t, []http.Handler{e}, withIncarnation(1))
		last, _ := n.firstEvents(t, 2, HeaderRequestID, "r1", HeaderResumeHold, "5")
		<-e.waiting
		n.targets.setIncarnation(2)
		rest := n.send(t, "POST", chatPath, keyA, streamReq, HeaderRequestID, "r1", HeaderLastEventID, last)
		is.True(rest.isRefusal(problem.StreamNotResumable, problem.MayHaveRun))
		n.targets.setIncarnation(1)
		rest = n.send(t, "POST", chatPath, keyA, streamReq, HeaderRequestID, "r1", HeaderLastEventID, last)
		got, complete := tokens(rest.body)
		is.True(got == "345" && complete)
	})
	t.Run("by the node", func(t *testing.T) {
		is := is.New(t)
		e := newSSEEngine(5, fault{interruptAfter: 2})
		var n *node
		n = newNode(t, []http.Handler{http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer n.targets.setIncarnation(2)
			e.ServeHTTP(w, r)
		})}, withIncarnation(1))
		got, complete := tokens(n.chat(t, streamReq).body)
		is.True(got == "12" && !complete)
	})
}

func TestCallerGoneCancels(t *testing.T) {
	is := is.New(t)
	e := newSSEEngine(5, fault{interruptAfter: 2, hang: true})
	n := newNode(t, []http.Handler{e})
	n.firstEvents(t, 2, HeaderRequestID, "r1")
	eventually(t, n.released)
	e.mu.Lock()
	defer e.mu.Unlock()
	is.Equal(len(e.canceled), 1)
	is.True(e.runs[e.canceled[0]] == 1) // the generation that was run
	is.Equal(testutil.ToFloat64(n.Gateway.metrics.cancels), 1.0)
}

// A caller that doesn't read its stream is disconnected, and its generation is canceled.
func TestStalledCaller(t *testing.T) {
	canceled := make(chan struct{})
	var once sync.Once
	n := newNode(t, []http.Handler{http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			once.Do(func() { close(canceled) })
			return
		}
		w.Header().Set("Content-Type", eventStream)
		event := "data: {\"content\":\"" + strings.Repeat("x", 64<<10) + "\"}\n\n"
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, event)
		}
	})})
	n.writeTimeout = 50 * time.Millisecond
	resp := n.open(t, chatPath, streamReq)
	defer func() { _ = resp.Body.Close() }()
	<-canceled
	eventually(t, n.released)
	eventually(t, func() bool { return n.refused(problem.CallerGone) == 1 })
}

// A stream with an Idempotency-Key runs to its end without its caller and is replayed
// completely.
func TestClaimedStream(t *testing.T) {
	is := is.New(t)
	claimer := newFakeClaimer()
	e := newSSEEngine(5, fault{interruptAfter: 2})
	n := newNode(t, []http.Handler{e}, withClaimer(claimer))
	n.firstEvents(t, 1, HeaderIdempotencyKey, "k")
	outcome, _ := claimer.finished(t, "k")
	is.Equal(outcome, claims.Ran)
	a := n.chat(t, streamReq, HeaderIdempotencyKey, "k")
	is.Equal(a.header.Get(HeaderReplayed), "true")
	is.Equal(a.header.Get("Content-Type"), eventStream)
	got, complete := tokens(a.body)
	is.Equal(got, "12345")
	is.True(complete)
	is.Equal(e.ran(), 1)
	is.Equal(len(e.canceled), 0)
}

// A stream with an Idempotency-Key that can't be resumed gets an unknown outcome and isn't
// replayed in part.
func TestClaimedStreamInterrupted(t *testing.T) {
	is := is.New(t)
	claimer := newFakeClaimer()
	n := newNode(t, []http.Handler{newSSEEngine(5, fault{interruptAfter: 2}, fault{notHeld: true})}, withClaimer(claimer))
	n.chat(t, streamReq, HeaderIdempotencyKey, "k")
	outcome, _ := claimer.finished(t, "k")
	is.Equal(outcome, claims.PossiblyRun)
	a := n.chat(t, streamReq, HeaderIdempotencyKey, "k")
	is.True(a.isRefusal(problem.ClaimUnknown, problem.MayHaveRun))
}

// An unstreamed response truncated by a service is never delivered as a complete one.
func TestTruncatedResponses(t *testing.T) {
	half := func(n int) *target {
		return &target{handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(2*n))
			_, _ = w.Write(make([]byte, n))
			flush(w)
			panic(http.ErrAbortHandler)
		}}
	}
	is := is.New(t)
	n := newNode(t, handlers(half(100)))
	is.True(n.send(t, "POST", lettersPath, keyA, "").isRefusal(problem.TargetFailed, problem.MayHaveRun))
	n = newNode(t, handlers(half(2*maxBufferedResponse)))
	a := n.send(t, "POST", lettersPath, keyA, "")
	is.Equal(a.status, 200)
	is.True(a.err != nil) // the connection was closed early
}

// A response larger than the buffer is delivered unchanged.
func TestLargeResponse(t *testing.T) {
	is := is.New(t)
	large := strings.Repeat("0123456789", maxBufferedResponse/4)
	n := newNode(t, handlers(&target{handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, large) }}))
	a := n.send(t, "GET", "/services/s/works", keyA, "")
	is.NoErr(a.err)
	is.True(a.body == large)
}
