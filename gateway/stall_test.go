package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/config"
)

// Guards against losing data that follows a pause longer than the write timeout, because the
// deadline of the write before the pause had expired: a burst of events that fills the server's
// buffer, the final error event, and the end of the stream.
func TestStreamContinuesAfterLongPause(t *testing.T) {
	const writeTimeout = 200 * time.Millisecond
	event := func(n int) string {
		return `data: {"choices":[{"delta":{"content":"` + strings.Repeat("x", n) + `"}}]}` + "\n\n"
	}
	for _, tt := range []struct {
		name, then, want string
		abort            bool
	}{
		{"a burst", strings.Repeat(event(900), 12) + "data: [DONE]\n\n", "[DONE]", false},
		{"a failure", "", "event: error", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := newNode(t, []http.Handler{http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodDelete {
					return
				}
				w.Header().Set("Content-Type", eventStream)
				_, _ = io.WriteString(w, event(1))
				w.(http.Flusher).Flush()
				time.Sleep(2 * writeTimeout)
				_, _ = io.WriteString(w, tt.then)
				if tt.abort {
					panic(http.ErrAbortHandler)
				}
			})}, withConfig(func(c *config.Node) { c.StreamHold = 0 }))
			n.writeTimeout = writeTimeout
			resp := n.open(t, chatPath, streamReq)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.True(strings.Contains(string(body), tt.want))
		})
	}
}
