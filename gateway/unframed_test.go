package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/claims"
	"github.com/knapweedgw/knapweedgw/problem"
)

// unframedTarget answers with neither a length nor chunks and closes the connection. A non-nil last is
// called before that.
func unframedTarget(status int, contentType, body string, last func()) *target {
	return &target{handler: func(w http.ResponseWriter, _ *http.Request) {
		conn, buf, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(buf, "HTTP/1.1 %d Status\r\nContent-Type: %s\r\nConnection: close\r\n\r\n%s", status, contentType, body)
		_ = buf.Flush()
		if last != nil {
			last()
		}
	}}
}

// crashing returns a server's target that ends with its answer.
func crashing(t *testing.T, status int, contentType, body string, announce func(n *node)) *node {
	t.Helper()
	var n *node
	target := unframedTarget(status, contentType, body, func() {
		if announce != nil {
			announce(n)
		}
		n.stopTarget(0)
	})
	n = newNode(t, handlers(target))
	return n
}

const eventsType = "text/event-stream"

// Guards against a service's response that was broken off being delivered as a complete one, and kept as
// one for an Idempotency-Key: the end of its connection was taken for its end.
func TestTruncatedUnframedResponses(t *testing.T) {
	const whole = "data: a\n\ndata: b\n\n"
	for name, start := range map[string]func(t *testing.T) *node{
		"inside an event": func(t *testing.T) *node {
			return newNode(t, handlers(unframedTarget(200, eventsType, whole[:14], nil)))
		},
		"before the first event": func(t *testing.T) *node { return newNode(t, handlers(unframedTarget(200, eventsType, "", nil))) },
		"between events by a crash": func(t *testing.T) *node {
			return crashing(t, 200, eventsType, whole[:9], nil)
		},
		"a plain body by a crash": func(t *testing.T) *node { return crashing(t, 200, "text/plain", "half", nil) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := start(t)
			a := n.send(t, "POST", lettersPath, keyA, "")
			is.True(a.err != nil || a.isRefusal(problem.TargetFailed, problem.MayHaveRun))
			is.True(n.released())
		})
		t.Run(name+", claimed", func(t *testing.T) {
			is, claimer := is.New(t), newFakeClaimer()
			n := start(t)
			n.claimer = claimer
			a := n.send(t, "POST", lettersPath, keyA, "", HeaderIdempotencyKey, "k")
			is.True(a.err != nil || a.problem.Reason == problem.TargetFailed)
			outcome, _ := claimer.finished(t, "k")
			is.Equal(outcome, claims.PossiblyRun)
			a = n.send(t, "POST", lettersPath, keyA, "", HeaderIdempotencyKey, "k")
			is.True(a.isRefusal(problem.ClaimUnknown, problem.MayHaveRun))
		})
	}
}

// Guards against a whole response being aborted since only its connection delimits it, or since its target
// has announced that it leaves and is gone.
func TestWholeUnframedResponses(t *testing.T) {
	const whole = "data: a\n\ndata: b\n\n"
	for name, start := range map[string]func(t *testing.T) *node{
		"lives on": func(t *testing.T) *node { return newNode(t, handlers(unframedTarget(200, eventsType, whole, nil))) },
		"leaves": func(t *testing.T) *node {
			return crashing(t, 200, eventsType, whole, func(n *node) { n.targets.setLeaving() })
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := start(t)
			a := n.send(t, "POST", lettersPath, keyA, "")
			is.NoErr(a.err)
			is.Equal(a.body, whole)
		})
	}
}

// Guards against a failure that was broken off being held and delivered as the target's whole answer.
func TestTruncatedFailureIsNotHeld(t *testing.T) {
	is := is.New(t)
	n := crashing(t, 500, "text/plain", "half", nil)
	a := n.send(t, "POST", "/services/s/search", keyA, "")
	is.Equal(a.problem.Execution, problem.MayHaveRun) // a refusal
}

// Guards against a caller of HTTP/1.0 taking a truncated response for a complete one: it has no chunks, so
// only a reset of its connection shows it.
func TestTruncatedResponseToHTTP10IsReset(t *testing.T) {
	is := is.New(t)
	n := newNode(t, handlers(unframedTarget(200, eventsType, "data: a\n\ndata", nil)))
	conn, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST "+lettersPath+" HTTP/1.0\r\nAuthorization: Bearer "+keyA+"\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	_, err = io.Copy(io.Discard, conn)
	is.True(err != nil)
}
