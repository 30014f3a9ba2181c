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

// What comes after a pause longer than a write to the caller may take is delivered:
// a burst of events that fills the server's buffer, the event that says why the
// stream ends, and its end.
func TestStreamGoesOnAfterALongPause(t *testing.T) {
	const stall = 200 * time.Millisecond
	event := func(n int) string {
		return `data: {"choices":[{"delta":{"content":"` + strings.Repeat("x", n) + `"}}]}` + "\n\n"
	}
	for _, tt := range []struct {
		name, then, want string
		cut              bool
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
				time.Sleep(2 * stall)
				_, _ = io.WriteString(w, tt.then)
				if tt.cut {
					panic(http.ErrAbortHandler)
				}
			})}, withConfig(func(c *config.Node) { c.StreamHold = 0 }))
			n.stall = stall
			resp := n.open(t, chatPath, streamReq)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.True(strings.Contains(string(body), tt.want))
		})
	}
}
