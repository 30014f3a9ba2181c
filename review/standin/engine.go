package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in of an engine: it serves requests of one service and records what it runs.
type engine struct {
	id, service, addr string
	slots             int
	store             *kvStore
	record            *record
	// work runs a request whose body of that length has been read.
	work func(e *engine, w http.ResponseWriter, r *http.Request, length int64)

	server  *http.Server
	running atomic.Int64

	mu   sync.Mutex
	runs map[string]int // by Request-Id
}

func startEngine(store *kvStore, rec *record, id, service string, slots int, work func(*engine, http.ResponseWriter, *http.Request, int64)) (*engine, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: id, service: service, addr: ln.Addr().String(), slots: slots, store: store, record: rec, work: work,
		runs: make(map[string]int),
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(ln) }()
	return e, store.put("servers/"+id, e.entry("ready"))
}

func (e *engine) entry(state string) map[string]any {
	return map[string]any{
		"service": e.service, "address": e.addr, "zone": "zone-a", "version": "v1", "slots": e.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 1,
	}
}

// ServeHTTP implements http.Handler as PROTOCOL.md describes engines.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	length, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if n := e.running.Add(1); n > int64(2*e.slots) {
		e.running.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	w.Header().Set("Engine-Signature", "sig-"+id)
	w.Header().Set("Engine-Load", fmt.Sprintf("%d,0,%d", e.running.Load(), e.slots))
	e.work(e, w, r, length)
}

// ran returns how often the engine has run a request.
func (e *engine) ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// stream answers with events with increasing ids, one each gap.
func stream(events int, gap time.Duration) func(*engine, http.ResponseWriter, *http.Request, int64) {
	return func(_ *engine, w http.ResponseWriter, r *http.Request, _ int64) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= events; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, r.Header.Get("Request-Id")); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-time.After(gap):
			case <-r.Context().Done():
				return
			}
		}
	}
}
