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
type Faults struct {
	// DelayMS delays every answer.
	DelayMS int `json:"delay_ms"`
	// LoseEvery runs each n-th call but closes the connection unanswered.
	LoseEvery int `json:"lose_every"`
	// RefuseEvery answers each n-th call with 503 and doesn't run it.
	RefuseEvery int `json:"refuse_every"`
	// Leaving announces on every answer that the service VM is leaving.
	Leaving bool `json:"leaving"`
}

// Runs counts calls run, by X-Request-Id and by Idempotency-Key.
type Runs struct {
	ByRequest map[string]int `json:"by_request"`
	ByKey     map[string]int `json:"by_key"`
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

	mu     sync.Mutex
	faults Faults
	seen   int
	runs   Runs
}

// New returns a service with the given VM ID.
func New(id string) *Service {
	return &Service{id: id, runs: Runs{ByRequest: make(map[string]int), ByKey: make(map[string]int)}}
}

// Handler returns the service's routes: any path, and /lab/*.
func (s *Service) Handler() http.Handler {
	c := restful.NewContainer()
	ws := new(restful.WebService)
	ws.Route(ws.GET("/lab/runs").To(s.serveRuns))
	ws.Route(ws.PUT("/lab/faults").To(s.putFaults))
	for _, m := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"} {
		ws.Route(ws.Method(m).Path("/{path:*}").To(s.serve))
	}
	c.Add(ws)
	return c
}

func (s *Service) serve(r *restful.Request, w *restful.Response) {
	id := r.Request.Header.Get("X-Request-Id")
	key := r.Request.Header.Get("Idempotency-Key")
	faults, refuse, lose := s.record(id, key)
	if faults.Leaving {
		w.Header().Set("X-Endpoint-State", "leaving")
	}
	if refuse {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w.ResponseWriter).Encode(Answer{
		Service: s.id, Method: r.Request.Method, Path: r.Request.URL.Path, RequestID: id,
	})
}

// record counts a call unless it is to be refused.
func (s *Service) record(id, key string) (f Faults, refuse, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen++
	f = s.faults
	refuse = f.RefuseEvery > 0 && s.seen%f.RefuseEvery == 0
	lose = f.LoseEvery > 0 && s.seen%f.LoseEvery == 0
	if refuse {
		return f, true, false
	}
	s.runs.ByRequest[id]++
	if key != "" {
		s.runs.ByKey[key]++
	}
	return f, false, lose
}

// SetFaults puts the fault switches in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) serveRuns(_ *restful.Request, w *restful.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w.ResponseWriter).Encode(s.runs)
}

func (s *Service) putFaults(r *restful.Request, w *restful.Response) {
	var f Faults
	if err := json.NewDecoder(r.Request.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}
