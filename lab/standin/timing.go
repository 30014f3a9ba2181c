package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/knapweedgw/knapweedgw/pause"
)

// Headers by which a request sets how long its run takes, in milliseconds. Nodes
// pass them on, so that the caller alone decides, whichever engine is chosen.
const (
	// BeforeHeader is the time until the header of the answer.
	BeforeHeader = "Lab-Before-Ms"
	// FirstHeader is the time from the header of a stream to its first event.
	FirstHeader = "Lab-First-Ms"
	// PaceHeader is the time between two events, in place of the engine's own.
	PaceHeader = "Lab-Pace-Ms"
)

// headerTime returns the time that a header of the request sets, or otherwise.
func headerTime(r *http.Request, name string, otherwise time.Duration) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(name))
	if err != nil {
		return otherwise
	}
	return time.Duration(ms) * time.Millisecond
}

// work takes the given time of a run, and reports whether its caller stayed.
func (e *Engine) work(r *http.Request, run *Run, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	pause.Sleep(r.Context(), d)
	if r.Context().Err() == nil {
		return true
	}
	e.journal.cancel(run)
	return false
}
