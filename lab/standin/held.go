package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// HeldStream is what a caller holds of a stream over several tries.
type HeldStream struct {
	// Path, Key and Header are those of each try.
	Path, Key string
	Header    http.Header
	// Resumes is the ID of the try that brought the first event, empty before it.
	Resumes string
	// Versions are the software versions of the engines that wrote the events, in the order of the
	// events, each once in a row.
	Versions []string
	// Events is the number of events held.
	Events int
	// Fault says what is wrong with the order of the events, empty for nothing.
	Fault string
}

// Try returns the request of the next try: for the whole stream, or for the rest of it.
func (h *HeldStream) Try() Request {
	r := Request{Path: h.Path, Key: h.Key, ID: NewID(), Body: "x", Header: make(http.Header)}
	for name, values := range h.Header {
		r.Header[name] = values
	}
	r.Header.Set(VersionHeader, "1")
	if h.Events > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(h.Events-1))
		r.Header.Set("Resumes", h.Resumes)
	}
	return r
}

// Take adds the events that a try brought and reports whether the stream is complete.
func (h *HeldStream) Take(a Answer) (complete bool) {
	if a.Status != http.StatusOK {
		return false
	}
	for part := range strings.SplitSeq(a.Body, "\n\n") {
		if a.Err == nil || strings.Contains(part, "data: ") {
			h.add(part, a.ID)
		}
	}
	return a.Err == nil
}

// add adds an event, of which the last of a broken stream may be a part.
func (h *HeldStream) add(event, try string) {
	version, n := "", -1
	for line := range strings.SplitSeq(event, "\n") {
		if v, ok := strings.CutPrefix(line, "event: "); ok {
			version = v
		}
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ = strconv.Atoi(id) // another number is out of order
		}
	}
	if n < 0 {
		return
	}
	if n != h.Events {
		h.Fault = fmt.Sprintf("event %d after %d events", n, h.Events)
	}
	if h.Events == 0 {
		h.Resumes = try
	}
	h.Events = n + 1
	if k := len(h.Versions); k == 0 || h.Versions[k-1] != version {
		h.Versions = append(h.Versions, version)
	}
}

// Crossed reports whether engines of several versions wrote the stream.
func (h *HeldStream) Crossed() bool { return len(h.Versions) > 1 }
