// Package service is a stand-in for a service that serves no model, with switches that inject
// faults. It counts the calls that took effect by request ID and by idempotency key.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	restful "github.com/emicklei/go-restful/v3"
)

// Faults are the service's fault switches; the zero value injects none. A call takes effect, that
// is, it is counted as run, between the two delays.
type Faults struct {
	// DelayBeforeMS delays each call before it takes effect, in milliseconds.
	DelayBeforeMS int `json:"delay_before_ms"`
	// DelayMS delays each response after the call took effect, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// RefuseEvery answers every n-th call with status 503 and doesn't run it.
	RefuseEvery int `json:"refuse_every"`
	// DropEvery closes the connection of every n-th call and doesn't run it.
	DropEvery int `json:"drop_every"`
	// LoseEvery runs every n-th call and closes the connection without a response.
	LoseEvery int `json:"lose_every"`
	// CutEvery runs every n-th call and closes the connection in the middle of the response body.
	CutEvery int `json:"cut_every"`
	// Leaving sets the response header that announces that the service's VM is shutting down.
	Leaving bool `json:"leaving"`
}

// Answer is the body of each response.
type Answer struct {
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request_id"`
	// Padding has the length that the query's parameter "answer_bytes" sets.
	Padding string `json:"padding,omitempty"`
}

// Service answers calls and counts them.
type Service struct {
	id string

	mu      sync.Mutex
	faults  Faults
	calls   int // calls received, for the switches that affect every n-th
	total   int // calls that took effect
	refused int
	byID    counter
	byKey   counter
}

// New returns a service; id is the ID of its VM.
func New(id string) *Service {
	return &Service{id: id, byID: newCounter(maxTrackedIDs), byKey: newCounter(maxTrackedIDs)}
}

// Handler returns the service's routes: /lab/runs, /lab/faults and, for calls, any other path.
func (s *Service) Handler() http.Handler {
	c := restful.NewContainer()
	ws := new(restful.WebService).Produces("*/*")
	ws.Route(ws.GET("/lab/runs").To(s.serveRuns))
	ws.Route(ws.PUT("/lab/faults").To(s.putFaults))
	for _, m := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"} {
		ws.Route(ws.Method(m).Path("/{path:*}").To(s.serve))
	}
	c.Add(ws)
	return c
}

func (s *Service) serve(r *restful.Request, w *restful.Response) {
	nth, f := s.countCall()
	if f.Leaving {
		w.Header().Set("X-Endpoint-State", "leaving")
	}
	switch {
	case isAffected(nth, f.RefuseEvery):
		s.countRefused()
		w.Header().Set("Retry-After", "1")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case isAffected(nth, f.DropEvery):
		s.countRefused()
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, r.Request.Body); err != nil {
		panic(http.ErrAbortHandler) // the call wasn't received whole
	}
	time.Sleep(time.Duration(f.DelayBeforeMS) * time.Millisecond)
	id := r.Request.Header.Get("X-Request-Id")
	s.countRun(id, r.Request.Header.Get("Idempotency-Key"))
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	if isAffected(nth, f.LoseEvery) {
		panic(http.ErrAbortHandler)
	}
	s.answer(r, w, id, isAffected(nth, f.CutEvery))
}

// isAffected reports whether a switch for every n-th call affects the nth call, where every is the
// switch's n; 0 is off.
func isAffected(nth, every int) bool { return every > 0 && nth%every == 0 }

// answer sends the response, or half of its body before it closes the connection if cut is set.
func (s *Service) answer(r *restful.Request, w *restful.Response, id string, cut bool) {
	padding, _ := strconv.Atoi(r.Request.URL.Query().Get("answer_bytes")) // 0 if it isn't a number
	raw, _ := json.Marshal(Answer{
		Service: s.id, Method: r.Request.Method, Path: r.Request.URL.Path, RequestID: id,
		Padding: strings.Repeat(".", padding),
	})
	w.Header().Set("Content-Type", "application/json")
	if cut {
		_, _ = w.Write(raw[:len(raw)/2])
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(raw)
}

// countCall counts a call and returns its number and the fault switches.
func (s *Service) countCall() (nth int, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.calls, s.faults
}

// countRefused counts a call that didn't take effect.
func (s *Service) countRefused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
}

// countRun counts a call that took effect.
func (s *Service) countRun(id, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.byID.add(id)
	s.byKey.add(key)
}

// SetFaults replaces the fault switches.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the counts of calls that took effect.
func (s *Service) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Runs{
		ByRequest: s.byID.counts(), ByKey: s.byKey.counts(),
		Total: s.total, Repeats: s.byID.repeats, KeyRepeats: s.byKey.repeats, Refused: s.refused,
	}
}

func (s *Service) serveRuns(_ *restful.Request, w *restful.Response) {
	_ = json.NewEncoder(w.ResponseWriter).Encode(s.Runs())
}

func (s *Service) putFaults(r *restful.Request, w *restful.Response) {
	var f Faults
	dec := json.NewDecoder(r.Request.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}
