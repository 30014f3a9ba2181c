package gateway

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/problem"
)

func TestBadInput(t *testing.T) {
	long := strings.Repeat("x", maxIdempotencyKey+1)
	tests := []struct {
		name, method, path, key, body string
		header                        []string
		status                        int
		reason                        problem.Reason
	}{
		{"no key", "POST", chatPath, "", chatBody, nil, 401, problem.Unauthenticated},
		{"unknown key", "POST", chatPath, "key-x", chatBody, nil, 401, problem.Unauthenticated},
		{"malformed JSON", "POST", chatPath, keyA, `{"model":`, nil, 400, problem.BadRequest},
		{"wrong JSON type", "POST", chatPath, keyA, `{"model":7,"messages":[{}]}`, nil, 400, problem.BadRequest},
		{"JSON array", "POST", chatPath, keyA, `[]`, nil, 400, problem.BadRequest},
		{"deep JSON", "POST", chatPath, keyA, strings.Repeat("[", 100_000), nil, 400, problem.BadRequest},
		{"empty body", "POST", chatPath, keyA, "", nil, 400, problem.BadRequest},
		{"no model", "POST", chatPath, keyA, `{"messages":[{}]}`, nil, 400, problem.BadRequest},
		{"no messages", "POST", chatPath, keyA, `{"model":"m"}`, nil, 400, problem.BadRequest},
		{"unknown model", "POST", chatPath, keyA, `{"model":"x","messages":[{}]}`, nil, 404, problem.UnknownModel},
		{"unknown service", "GET", "/services/x/y", keyA, "", nil, 404, problem.UnknownService},
		{"another team's service", "GET", "/services/s/y", keyB, "", nil, 404, problem.UnknownService},
		{"dot segments", "GET", "/services/s/a/../notices", keyA, "", nil, 400, problem.BadRequest},
		{"escaped dot segments", "GET", "/services/s/a/%2e%2e/notices", keyA, "", nil, 400, problem.BadRequest},
		{"body over the limit", "POST", chatPath, keyA, strings.Repeat("x", 1<<20+1), nil, 413, problem.BodyTooLarge},
		{"header flood", "POST", chatPath, keyA, chatBody, []string{"X-Flood", strings.Repeat("x", maxHeaderBytes)}, 431, problem.HeadersTooLarge},
		{"oversized Idempotency-Key", "POST", chatPath, keyA, chatBody, []string{HeaderIdempotencyKey, long}, 400, problem.BadRequest},
		{"empty Idempotency-Key", "POST", chatPath, keyA, chatBody, []string{HeaderIdempotencyKey, ""}, 400, problem.BadRequest},
		{"binary X-Request-Id", "POST", chatPath, keyA, chatBody, []string{HeaderRequestID, "\xff"}, 400, problem.BadRequest},
		{"bad Last-Event-ID", "POST", chatPath, keyA, streamReq, []string{HeaderLastEventID, "x"}, 400, problem.BadRequest},
		{"bad Request-Timeout", "POST", chatPath, keyA, chatBody, []string{HeaderRequestTimeout, "soon"}, 400, problem.BadRequest},
		{"negative Request-Timeout", "POST", chatPath, keyA, chatBody, []string{HeaderRequestTimeout, "-1"}, 400, problem.BadRequest},
		{"wrong method", "GET", chatPath, keyA, "", nil, 405, problem.MethodNotAllowed},
		{"wrong path", "GET", "/v2/x", keyA, "", nil, 404, problem.NotFound},
		{"root", "GET", "/", keyA, "", nil, 404, problem.NotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			target := okTarget()
			n := newNode(t, handlers(target))
			a := n.send(t, tt.method, tt.path, tt.key, tt.body, tt.header...)
			is.NoErr(a.err)
			is.Equal(a.status, tt.status)
			is.Equal(a.header.Get("Content-Type"), problem.ContentType)
			is.Equal(a.problem.Reason, tt.reason)
			is.Equal(a.problem.Execution, problem.NotRun)
			is.Equal(a.problem.Status, tt.status)
			is.True(a.problem.Remedy != "")
			is.Equal(target.count(), 0)               // no target ran it
			is.Equal(n.refused(tt.reason), 1.0)       // the refusal is counted
			is.Equal(n.chat(t, chatBody).status, 200) // the node still serves
		})
	}
}

func TestHarmlessInput(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		header                   []string
	}{
		{"bad Priority counts as the default", "POST", chatPath, chatBody, []string{HeaderPriority, "u=99, ???"}},
		{"service without a path", "GET", "/services/s", "", nil},
		{"service with a trailing slash", "GET", "/services/s/", "", nil},
		{"Accept of one type", "POST", chatPath, chatBody, []string{"Accept", "application/json"}},
		{"Accept of events", "GET", "/services/s/x", "", []string{"Accept", "text/event-stream;q=0.5"}},
		{"any Content-Type", "POST", chatPath, chatBody, []string{"Content-Type", "text/plain"}},
		{"lower-case bearer", "POST", chatPath, chatBody, []string{"Authorization", "bearer " + keyA}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode(t, handlers(okTarget()))
			is.New(t).Equal(n.send(t, tt.method, tt.path, keyA, tt.body, tt.header...).status, 200)
		})
	}
}

func TestPriority(t *testing.T) {
	tests := map[string]int{"": 3, "u=0": 0, "u=7": 7, "u=8": 3, "u=-1": 3, "i, u=2": 2, "u=2, i": 2, "u": 3, "u=22": 3}
	for h, want := range tests {
		if got := priority(h); got != want {
			t.Errorf("priority(%q) = %d, want %d", h, got, want)
		}
	}
}

// A chat that already has a reply is marked as returning in its admission request.
func TestReturningChat(t *testing.T) {
	n := newNode(t, handlers(okTarget()))
	n.chat(t, `{"model":"m","messages":[{"role":"system"},{"role":"user"}]}`)
	n.chat(t, `{"model":"m","messages":[{"role":"user"},{"role":"assistant"},{"role":"user"}]}`)
	if r := n.admitter.requests; len(r) != 2 || r[0].Returning || !r[1].Returning {
		t.Errorf("admission requests: %+v", r)
	}
}

// raw sends text over a separate connection and returns everything received until the node
// closes it.
func (n *node) raw(t *testing.T, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	got, _ := io.ReadAll(conn)
	return string(got)
}

const partialHeader = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + keyA + "\r\n"

// A caller that stalls in the middle of its body is refused, and the connection is closed
// instead of being read further.
func TestSlowBody(t *testing.T) {
	is := is.New(t)
	n := newNode(t, handlers(okTarget()), withConfig(func(c *config.Node) { c.BodyTimeout = 50 * time.Millisecond }))
	got := n.raw(t, partialHeader+"Content-Length: 100\r\n\r\n{")
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(got)), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	is.True(resp.Close)
	var p problem.Problem
	is.NoErr(json.NewDecoder(resp.Body).Decode(&p))
	is.Equal(p.Reason, problem.BodyTimeout)
	is.Equal(p.Execution, problem.NotRun)
}

// The connection of a caller that stalls in the middle of its header is closed. net/http sends
// no status then.
func TestSlowHeader(t *testing.T) {
	n := newNode(t, handlers(okTarget()), withConfig(func(c *config.Node) { c.BodyTimeout = 50 * time.Millisecond }))
	is.New(t).Equal(n.raw(t, partialHeader), "")
}

// A header over the limit of the HTTP server itself also gets status 431.
func TestHugeHeader(t *testing.T) {
	n := newNode(t, handlers(okTarget()))
	got := n.raw(t, partialHeader+"X: "+strings.Repeat("x", serverHeaderBytes+8<<10)+"\r\n\r\n")
	is.New(t).True(strings.HasPrefix(got, "HTTP/1.1 431 "))
}

// The read deadline of a body is cleared, so that it doesn't expire during a slow response or a
// later request on the same connection.
func TestReadDeadlineIsCleared(t *testing.T) {
	is := is.New(t)
	slow := &target{handler: func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(150 * time.Millisecond):
		}
		_, _ = io.WriteString(w, `{}`)
	}}
	n := newNode(t, handlers(slow), withConfig(func(c *config.Node) { c.BodyTimeout = 50 * time.Millisecond }))
	is.Equal(n.chat(t, chatBody).status, 200)
	is.Equal(n.chat(t, chatBody).status, 200)
}

func TestPanicIsAnswered(t *testing.T) {
	is := is.New(t)
	n := newNode(t, handlers(okTarget()))
	n.Gateway.admitter = nil // any call panics
	a := n.chat(t, chatBody)
	is.Equal(a.status, 500)
	is.True(a.isRefusal(problem.Internal, problem.NotRun))
	is.Equal(testutil.ToFloat64(n.Gateway.metrics.panics), 1.0)
	is.Equal(n.send(t, "GET", "/v1/models", keyA, "").status, 200)
}

func TestNoSettings(t *testing.T) {
	is := is.New(t)
	n := newNode(t, handlers(okTarget()))
	n.settings.snap = nil
	a := n.chat(t, chatBody)
	is.Equal(a.status, 503)
	is.True(a.isRefusal(problem.NoSettings, problem.NotRun))
	is.Equal(a.header.Get("Retry-After"), "2")
}

// Neither API keys nor other headers of callers reach targets, and headers between targets and
// nodes don't reach callers.
func TestHeadersAreFiltered(t *testing.T) {
	is := is.New(t)
	tg := okTarget()
	handler := tg.handler
	tg.handler = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Set-Cookie", "a=b")
		w.Header().Set("X-Internal", "secret")
		w.Header().Set(HeaderLoadReport, `JSON {"named_metrics":{"in_flight":7}}`)
		w.Header().Set(HeaderEndpointState, stateLeaving)
		handler(w, r)
	}
	n := newNode(t, handlers(tg))
	a := n.chat(t, chatBody, "Cookie", "c=d", "X-Forwarded-For", "1.2.3.4", "Proxy-Authorization", "x")
	is.Equal(a.status, 200)
	for _, name := range []string{"Authorization", "Cookie", "X-Forwarded-For", "Proxy-Authorization"} {
		is.Equal(tg.header(0).Get(name), "")
	}
	for _, name := range []string{"Set-Cookie", "X-Internal", HeaderLoadReport, HeaderEndpointState} {
		is.Equal(a.header.Get(name), "")
	}
	is.Equal(n.admitter.loads["t1"], 7)         // the load report reached admission
	is.Equal(n.targets.leaving, []string{"t1"}) // the announcement reached the registry
}

// The same chat ID in two workspaces gives two routing keys.
func TestChatKeysAreSeparate(t *testing.T) {
	is := is.New(t)
	n := newNode(t, handlers(okTarget()))
	for _, key := range []string{keyA, keyB} {
		is.Equal(n.send(t, "POST", chatPath, key, chatBody, HeaderChatID, "c1").status, 200)
	}
	is.True(n.admitter.requests[0].Chat != n.admitter.requests[1].Chat)
}

// A path reaches the service with the caller's escaping.
func TestServicePath(t *testing.T) {
	tests := map[string]string{
		"/services/s":                "/",
		"/services/s/":               "/",
		"/services/s/a/b?x=%20y":     "/a/b?x=%20y",
		"/services/s/a%2Fb%3Fc/%20d": "/a%2Fb%3Fc/%20d",
		"/services/s/a//b":           "/a//b",
	}
	for path, want := range tests {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			tg := okTarget()
			n := newNode(t, handlers(tg))
			is.Equal(n.send(t, "GET", path, keyA, "").status, 200)
			is.Equal(tg.paths, []string{want})
		})
	}
}
