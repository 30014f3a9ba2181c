// Package service is a stand-in for a plain service, with switches that make
// it fail. It counts what it ran by request ID and by idempotency key.
package service

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	restful "github.com/emicklei/go-restful/v3"
)

// Faults are the service's fault switches; the zero value is a healthy one.
// A call takes effect, that is, it is counted as run, between the two delays.
type Faults struct {
	// DelayBeforeMS delays each call before it takes effect.
	DelayBeforeMS int `json:"delay_before_ms"`
	// DelayMS delays each answer after the call took effect.
	DelayMS int `json:"delay_ms"`
	// RefuseEvery answers each n-th call with 503 and doesn't run it.
	RefuseEvery int `json:"refuse_every"`
	// DropEvery closes the connection of each n-th call and doesn't run it.
	DropEvery int `json:"drop_every"`
	// LoseEvery runs each n-th call but closes the connection unanswered.
	LoseEvery int `json:"lose_every"`
	// CutEvery runs each n-th call and closes the connection inside the answer.
	CutEvery int `json:"cut_every"`
	// Leaving announces on every answer that the service VM is leaving.
	Leaving bool `json:"leaving"`
}

// Answer is the body of each answer.
type Answer struct {
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request_id"`
}

// Service runs calls.
type Service struct {
	id string

	mu      sync.Mutex
	faults  Faults
	seen    int
	total   int
	refused int
	byID    counter
	byKey   counter
}

// New returns a service with the given VM ID.
func New(id string) *Service {
	return &Service{id: id, byID: newCounter(keptRuns), byKey: newCounter(keptRuns)}
}

// Handler returns the service's routes: any path, and /lab/*.
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
	nth, f := s.arrive()
	if f.Leaving {
		w.Header().Set("X-Endpoint-State", "leaving")
	}
	switch {
	case hits(nth, f.RefuseEvery):
		s.refuse()
		w.Header().Set("Retry-After", "1")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case hits(nth, f.DropEvery):
		s.refuse()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(f.DelayBeforeMS) * time.Millisecond)
	id := r.Request.Header.Get("X-Request-Id")
	s.run(id, r.Request.Header.Get("Idempotency-Key"))
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	if hits(nth, f.LoseEvery) {
		panic(http.ErrAbortHandler)
	}
	s.answer(r, w, id, hits(nth, f.CutEvery))
}

// hits says whether the n-th call meets a fault of every n-th.
func hits(nth, every int) bool { return every > 0 && nth%every == 0 }

func (s *Service) answer(r *restful.Request, w *restful.Response, id string, cut bool) {
	raw, _ := json.Marshal(Answer{
		Service: s.id, Method: r.Request.Method, Path: r.Request.URL.Path, RequestID: id,
	})
	w.Header().Set("Content-Type", "application/json")
	if cut {
		_, _ = w.Write(raw[:len(raw)/2])
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(raw)
}

// arrive numbers a call and returns the switches it meets.
func (s *Service) arrive() (nth int, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen++
	return s.seen, s.faults
}

func (s *Service) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
}

func (s *Service) run(id, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.byID.add(id)
	s.byKey.add(key)
}

// SetFaults puts the fault switches in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns what the service ran.
func (s *Service) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Runs{
		ByRequest: s.byID.counts(), ByKey: s.byKey.counts(),
		Total: s.total, Doubled: s.byID.doubled, DoubledKeys: s.byKey.doubled, Refused: s.refused,
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
