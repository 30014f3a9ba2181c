package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/knapweedgw/knapweedgw/pause"
)

// Headers of a request that set how long its run takes, in milliseconds. Nodes forward them,
// so that only the caller sets the times, whichever engine is chosen.
const (
	// BeforeHeader is the time until the header of the answer is sent.
	BeforeHeader = "Lab-Before-Ms"
	// FirstHeader is the time from the header of a stream to its first event.
	FirstHeader = "Lab-First-Ms"
	// PaceHeader is the time between two events; it overrides Engine.Pace.
	PaceHeader = "Lab-Pace-Ms"
)

// VersionHeader makes an engine write its software version into each event, as the event's type.
const VersionHeader = "Lab-Version"

// AnswerBytes is the parameter of a request's query that sets the length of the answer of a plain service.
const AnswerBytes = "answer_bytes"

// headerTime returns the duration set by a header of the request, or fallback if it has none.
func headerTime(r *http.Request, name string, fallback time.Duration) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(name))
	if err != nil {
		return fallback
	}
	return time.Duration(ms) * time.Millisecond
}

// sleep waits for d as part of a run, and reports whether the caller is still connected. If
// not, it marks the run as canceled.
func (e *Engine) sleep(r *http.Request, run *Run, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	pause.Sleep(r.Context(), d)
	if r.Context().Err() == nil {
		return true
	}
	e.journal.markCanceled(run)
	return false
}
