package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store and its last change.
type item struct {
	Key        string `json:"key"`
	Value      string `json:"value,omitempty"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"created_rev,omitempty"`
	Lease      int64  `json:"lease"`
	Removed    bool   `json:"removed,omitempty"`
}

// kvStore is a stand-in of the platform's store: the calls that PROTOCOL.md describes and the nodes use.
type kvStore struct {
	addr string

	mu      sync.Mutex
	changed chan struct{}
	rev     int64
	items   map[string]item
	events  []item
}

func newStore() (*kvStore, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &kvStore{addr: ln.Addr().String(), changed: make(chan struct{}), items: make(map[string]item)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

// put writes a key as the operator or an engine does, and returns when the store has accepted it.
func (s *kvStore) put(key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, base64.StdEncoding.EncodeToString(raw))
	s.signal()
	return nil
}

func (s *kvStore) write(key, value string) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.CreatedRev
	}
	it := item{Key: key, Value: value, Revision: s.rev, CreatedRev: created}
	s.items[key] = it
	s.events = append(s.events, it)
}

// signal wakes the watches that wait.
func (s *kvStore) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, it)
}

func (s *kvStore) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var out []item
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	writeJSON(w, map[string]any{"items": out, "more_pages": false, "current_rev": rev})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var out []item
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				out = append(out, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			writeJSON(w, map[string]any{"events": out, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, map[string]any{"events": []item{}, "current_rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		SetKeys []struct{ Key, Value string } `json:"set_keys"`
		Remove  []string                      `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.rev++
	for _, k := range t.SetKeys {
		s.write(k.Key, k.Value)
	}
	for _, k := range t.Remove {
		delete(s.items, k)
		s.events = append(s.events, item{Key: k, Revision: s.rev, Removed: true})
	}
	s.signal()
	writeJSON(w, map[string]any{"revision": s.rev})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
