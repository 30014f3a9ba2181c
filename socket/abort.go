package socket

import "net/http"

// AbortResponse ends a response before it is complete so that its reader can tell, and ends the handler
// by a panic with http.ErrAbortHandler. A response to HTTP/1.0 has no chunks: only a reset shows that it
// is incomplete.
func AbortResponse(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			Reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}
