package socket_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/socket"
)

// Guards against a caller of HTTP/1.0, whose answer ends with its connection, taking an aborted answer
// for a complete one.
func TestAbortResponseIsSeen(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "half an answer")
		w.(http.Flusher).Flush()
		socket.AbortResponse(w, r)
	}))
	defer server.Close()
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(proto, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "GET / "+proto+"\r\nHost: a\r\n\r\n")
			var got bytes.Buffer
			_, err = io.Copy(&got, conn)
			if proto == "HTTP/1.0" {
				is.True(err != nil) // reset
			} else {
				is.True(!strings.HasSuffix(got.String(), "0\r\n\r\n")) // no last chunk
			}
		})
	}
}
