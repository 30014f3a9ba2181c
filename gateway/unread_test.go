package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller that doesn't read its response and keeps a place on a target for ever.
func TestUnreadResponseEnds(t *testing.T) {
	for _, size := range []int{maxBufferedResponse / 2, 64 * maxBufferedResponse} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			n := newNode(t, []http.Handler{http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				part := strings.Repeat("x", maxBufferedResponse/2)
				for sent := 0; sent < size; sent += len(part) {
					if _, err := io.WriteString(w, part); err != nil {
						return
					}
				}
			})})
			n.writeTimeout = 100 * time.Millisecond
			c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			is.NoErr(c.(*net.TCPConn).SetReadBuffer(4 << 10))
			const requests = 64 // pipelined: more than the buffers of the sockets take
			for range requests {
				_, err = io.WriteString(c, "GET /services/s/search HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer "+keyA+"\r\n\r\n")
				is.NoErr(err)
			}
			begun := func() bool {
				n.admitter.mu.Lock()
				defer n.admitter.mu.Unlock()
				return len(n.admitter.requests) > 0
			}
			eventually(t, begun)
			eventually(t, func() bool { return n.conns.Count() == 0 && n.released() })
		})
	}
}
