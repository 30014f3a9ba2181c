package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/lab/engine"
	"github.com/knapweedgw/knapweedgw/lab/service"
	"github.com/knapweedgw/knapweedgw/problem"
)

// fakeFleet is the HTTP handler of a node and its targets, with one fault.
type fakeFleet struct {
	fault string

	mu    sync.Mutex
	tries map[string]int // tries by what identifies a request over its tries
	chats map[string]int // runs by request ID
	calls service.Runs   // runs of service calls
}

func newFakeFleet(fault string) *fakeFleet {
	return &fakeFleet{
		fault: fault, tries: map[string]int{}, chats: map[string]int{},
		calls: service.Runs{ByRequest: map[string]int{}, ByKey: map[string]int{}},
	}
}

func (f *fakeFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case r.URL.Path == "/engine/lab/runs":
		_ = json.NewEncoder(w).Encode(f.chats)
	case r.URL.Path == "/engine/lab/stats":
		_ = json.NewEncoder(w).Encode(engine.Stats{LoadSeconds: float64(len(f.chats))})
	case r.URL.Path == "/service/lab/runs":
		_ = json.NewEncoder(w).Encode(f.calls)
	case strings.HasPrefix(r.URL.Path, "/services/"):
		f.serveService(w, r)
	default:
		f.serveChat(w, r)
	}
}

// firstTry counts a try of the identified request and reports whether it is the first.
func (f *fakeFleet) firstTry(request string) bool {
	f.tries[request]++
	return f.tries[request] == 1
}

func (f *fakeFleet) serveService(w http.ResponseWriter, r *http.Request) {
	id, key := r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key")
	run := func() {
		f.calls.ByRequest[id]++
		if key != "" {
			f.calls.ByKey[key]++
		}
	}
	first := f.firstTry(r.Method + r.URL.Path)
	switch {
	case f.fault == "notice told unknown, run again" && key != "" && first:
		run()
		problem.New(problem.TargetFailed, problem.MayHaveRun, "").Write(w)
		return
	case f.fault == "notice run, answer gone" && key != "":
		run()
		problem.New(problem.ClaimAnswerExpired, problem.WasRun, "").Write(w)
		return
	case f.fault == "notice unknown is final" && key != "":
		problem.New(problem.ClaimUnknown, problem.MayHaveRun, "").Write(w)
		return
	case f.fault == "answer of another call":
		r.URL.Path = "/services/s/works/other"
	}
	run()
	_ = json.NewEncoder(w).Encode(service.Answer{Method: r.Method, Path: r.URL.Path})
}

func (f *fakeFleet) serveChat(w http.ResponseWriter, r *http.Request) {
	var req engine.ChatRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	id := r.Header.Get("X-Request-Id")
	first := f.firstTry(fmt.Sprint(len(req.Messages)))
	switch {
	case f.fault == "refused once" && first:
		problem.New(problem.Saturated, problem.NotRun, "").Write(w)
		return
	case f.fault == "refused always":
		problem.New(problem.Saturated, problem.NotRun, "").Write(w)
		return
	case f.fault == "told not run, but run" && first:
		f.chats[id]++
		problem.New(problem.Saturated, problem.NotRun, "").Write(w)
		return
	case f.fault == "run twice":
		f.chats[id]++
	}
	answer := engine.Answer(req.Messages, req.MaxTokens)
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-ID")); err == nil {
		if f.chats[id] == 0 {
			problem.New(problem.StreamNotResumable, problem.MayHaveRun, "").Write(w)
			return
		}
		answer = answer[last:]
	} else {
		f.chats[id]++
	}
	if !req.Stream {
		_, _ = fmt.Fprintf(w, `{"choices":[{"message":{"content":%q}}]}`, strings.Join(answer, ""))
		return
	}
	for i, token := range answer {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", i+1, token)
		if f.fault == "stream broken" && first && i == 1 {
			_, _ = fmt.Fprintf(w, "id: 3\ndata: {\"cho")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	switch f.fault {
	case "stream cut":
	case "stream error":
		_, _ = fmt.Fprint(w, "data: {\"error\":{\"message\":\"cut\",\"ran\":\"no\"}}\n\n")
	default:
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

// TestFaultsShowInResult checks that the result counts each fault of the nodes or targets.
func TestFaultsShowInResult(t *testing.T) {
	type counts struct{ requests, whole, refused, failed, lost, unanswered, wrong, retries, doubled, falseNotRun int }
	tests := map[string]counts{
		"":                               {requests: 4, whole: 4},
		"refused once":                   {requests: 4, whole: 4, retries: 2},
		"refused always":                 {requests: 1, refused: 1, retries: 2},
		"told not run, but run":          {requests: 4, whole: 4, retries: 2, falseNotRun: 2},
		"run twice":                      {requests: 4, whole: 4, doubled: 2},
		"stream broken":                  {requests: 4, whole: 4, retries: 1}, // the stream is resumed
		"stream cut":                     {requests: 1, lost: 1, retries: 2},
		"stream error":                   {requests: 1, failed: 1}, // "not run" is ignored after delivered tokens
		"answer of another call":         {requests: 4, whole: 2, wrong: 2},
		"notice told unknown, run again": {requests: 4, whole: 4, retries: 2, doubled: 2},
		"notice run, answer gone":        {requests: 4, whole: 2, unanswered: 2},
		"notice unknown is final":        {requests: 4, whole: 2, unanswered: 2},
	}
	for fault, want := range tests {
		t.Run(fault, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(newFakeFleet(fault))
			defer srv.Close()
			res, err := New(Config{
				Nodes: []string{srv.URL}, Engines: []string{srv.URL + "/engine"}, Services: []string{srv.URL + "/service"},
				Keys: []string{"k"}, Service: "s", Chats: 1, Turns: 2, MaxTokens: 3, Notices: 1,
				MaxTries: 3, MaxRetryAfter: time.Millisecond, Window: time.Hour,
			}).Run(context.Background())
			is.NoErr(err)
			is.Equal(counts{
				res.Requests, res.Whole, res.Refused, res.Failed, res.Lost, res.Unanswered, res.Wrong, res.Retries, res.Doubled, res.FalseNotRun,
			}, want)
			good := fault == "" || fault == "refused once" || fault == "stream broken"
			is.Equal(res.OK(false), good)
			is.Equal(res.OK(true), good || want.unanswered+want.failed > 0)
		})
	}
}

func TestRepeatableRequestsMayRunAgain(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	for _, k := range []kind{kindChat, kindRead, kindNotice} {
		_, id := l.newAttempt(k)
		l.addRequestRuns(map[string]int{id: 1})
		l.addRequestRuns(map[string]int{id: 1}) // the same request at another target
	}
	key := l.newKey()
	l.addKeyRuns(map[string]int{key: 1})
	l.addKeyRuns(map[string]int{key: 2, "another-0": 5})
	is.Equal(l.countRuns(true), runCounts{doubled: 2, repeated: 2})
	is.Equal(l.countRuns(false), runCounts{doubled: 4})
}

func TestBalancerSkipsNodesThatArentReady(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	b := newBalancer([]string{"a", "b", "c"})
	b.set("b", false)
	for range 100 {
		is.True(b.pick(rng) != "b")
	}
	b.set("a", false)
	b.set("c", false)
	is.True(b.pick(rng) != "") // any node if none is ready
	b.set("b", true)
	is.Equal(b.pick(rng), "b")

	ready := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/readyz" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer ready.Close()
	is.True(b.ready(context.Background(), ready.URL))
	is.True(!b.ready(context.Background(), ready.URL+"/other"))
	is.True(!b.ready(context.Background(), "http://127.0.0.1:0"))
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(nil)
	url := srv.URL
	srv.Close()
	res, err := New(Config{
		Nodes: []string{url}, Keys: []string{"k"}, Chats: 1, Turns: 1, MaxTries: 2, MaxRetryAfter: time.Millisecond, Window: time.Hour,
	}).Run(context.Background())
	is.NoErr(err)
	is.Equal(res.Refused, 1)
	is.Equal(res.Retries, 1)
}

// Guards against counting a request as not run because its last dial was refused. net/http resends
// a request that it considers idempotent after a reused connection ends. If the second connection
// is refused, the target may have run the request received on the first.
func TestRefusedResendIsUnknown(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	srv := httptest.NewUnstartedServer(nil)
	listener := srv.Listener
	srv.Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if received.Add(1) == 1 {
			return // the connection stays open for reuse
		}
		_ = listener.Close() // fails only if it is closed already
		panic(http.ErrAbortHandler)
	})
	srv.Start()
	defer srv.Close()
	r := New(Config{})
	req := request{method: http.MethodPost, key: "k", path: "/", body: []byte("{}"), read: func(io.Reader, time.Time) (answer, error) {
		return answer{}, nil
	}}
	_, fail := r.do(context.Background(), srv.URL, "id-1", req)
	is.True(fail == nil)
	_, fail = r.do(context.Background(), srv.URL, "id-2", req)
	is.True(fail != nil)
	is.Equal(received.Load(), int64(2))
	is.Equal(fail.ran, problem.MayHaveRun)
}
