package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/problem"
)

// drip writes pieces of a body until the caller closes the connection.
func drip(w http.ResponseWriter, r *http.Request) {
	for r.Context().Err() == nil {
		if _, err := io.WriteString(w, " "); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(2 * time.Millisecond)
	}
}

// endlessRefusalTarget refuses by a problem document that never ends.
func endlessRefusalTarget() *target {
	return &target{handler: func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", problem.ContentType)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"ran":"no"`)
		drip(w, r)
	}}
}

// endlessHeadTarget sends fields of a header without end.
func endlessHeadTarget() *target {
	return &target{handler: func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func(c net.Conn) { _ = c.Close() }(conn)
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			_, err = io.WriteString(conn, "Field: of a header that never ends\r\n")
		}
	}}
}

// Guards against requests that wait until their deadline for the end of a target's refusal, or of a header, that
// has none.
func TestEndlessAnswersAreNotWaitedFor(t *testing.T) {
	for name, c := range map[string]struct {
		call   string
		target *target
		status int
	}{
		"chat, endless refusal":   {"POST " + chatPath, endlessRefusalTarget(), 200},
		"read, endless refusal":   {"POST /services/s/search", endlessRefusalTarget(), 200},
		"letter, endless refusal": {"POST /services/s/letters", endlessRefusalTarget(), 502}, // it may have run
		"chat, endless header":    {"POST " + chatPath, endlessHeadTarget(), 200},
		"letter, endless header":  {"POST /services/s/letters", endlessHeadTarget(), 502},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newNode(t, handlers(c.target, okTarget()))
			method, path, body := split(c.call)
			began := time.Now()
			is.Equal(n.send(t, method, path, keyA, body).status, c.status)
			is.True(time.Since(began) < 5*time.Second)
		})
	}
}
