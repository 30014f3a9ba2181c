// Package standin has stand-ins for the platform that the router nodes run on: its key-value
// store, its engines and its operator's configuration. They follow the platform's published
// protocol and inject faults on request.
package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode is how the store handles the calls of a client.
type Mode int

// The modes of the store.
const (
	// Serving answers every call.
	Serving Mode = iota
	// Busy answers 503 (Service Unavailable).
	Busy
	// Limited answers 429 (Too Many Requests).
	Limited
	// Silent accepts calls and never answers.
	Silent
	// Reset closes connections without an answer.
	Reset
)

// Item is a key with its value, or a change of the history.
type Item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"created_rev"`
	Removed    bool   `json:"removed,omitempty"`
}

// Store is a stand-in for the platform's key-value store. Tests write to it with Put and
// Remove.
type Store struct {
	server *httptest.Server

	mu  sync.Mutex
	era int64
	// restoredAt is the revision of the copy that the store last came back from.
	restoredAt int64
	revision   int64
	items      map[string]Item
	history    []Item
	compacted  int64 // revision up to which the history was compacted
	changed    chan struct{}
	mode       Mode
	modeByIP   map[string]Mode // by the client's IP; overrides mode Serving
	stalled    bool            // watches return no events
	calls      int
	pageSize   int
}

// NewStore starts a store on a loopback address.
func NewStore(t Owner) *Store {
	s := &Store{
		era: firstEra, items: make(map[string]Item), changed: make(chan struct{}), modeByIP: make(map[string]Mode), pageSize: 500,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.admit(w, r) {
			mux.ServeHTTP(w, r)
		}
	}))
	t.Cleanup(func() {
		s.server.CloseClientConnections()
		s.server.Close()
	})
	return s
}

// Addr is the ip:port of the store.
func (s *Store) Addr() string { return s.server.Listener.Addr().String() }

// Put writes a key. A value that is no []byte is encoded as JSON.
func (s *Store) Put(key string, value any) {
	raw, ok := value.([]byte)
	if !ok {
		raw, _ = json.Marshal(value) // tests pass only values that can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, raw)
}

func (s *Store) put(key string, value []byte) {
	s.revision++
	item := Item{Key: key, Value: value, Revision: s.revision, CreatedRev: s.revision}
	s.items[key] = item
	s.record(item)
}

// Remove deletes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *Store) remove(key string) {
	s.revision++
	delete(s.items, key)
	s.record(Item{Key: key, Revision: s.revision, Removed: true})
}

func (s *Store) record(item Item) {
	s.history = append(s.history, item)
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetMode sets the mode for all clients. Any mode but Serving closes all connections, also
// those of waiting watches.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	s.mode = m
	s.wake()
	s.mu.Unlock()
	if m != Serving {
		s.server.CloseClientConnections()
	}
}

// SetModeFor sets the mode for the clients of one IP, which applies while the store is in mode
// Serving.
func (s *Store) SetModeFor(ip string, m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modeByIP[ip] = m
	s.wake()
}

// SetDeaf sets whether watches are stalled: a stalled watch returns no events and does not
// report a compacted history.
func (s *Store) SetDeaf(stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = stalled
	s.wake()
}

// Compact drops the history of changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
	s.wake()
}

// Has reports whether a key exists.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) admit(w http.ResponseWriter, r *http.Request) bool {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	s.calls++
	mode := s.mode
	if m, ok := s.modeByIP[host]; ok && mode == Serving {
		mode = m
	}
	s.setEra(w)
	s.mu.Unlock()
	switch mode {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Limited:
		w.WriteHeader(http.StatusTooManyRequests)
	case Silent:
		// net/http detects that a client has disconnected only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	case Reset:
		panic(http.ErrAbortHandler)
	default:
		return true
	}
	return false
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	n := s.pageLength(items)
	s.setEra(w)
	writeJSON(w, map[string]any{
		"items": items[:n], "more_pages": n < len(items), "current_rev": s.revision,
	})
}

// pageBytes is the approximate maximum of bytes of values on a page.
const pageBytes = 1 << 20

// pageLength returns how many of the items go on one page, at least one.
func (s *Store) pageLength(items []Item) int {
	n, size := 0, 0
	for n < min(len(items), s.pageSize) {
		if size += len(items[n].Value); n > 0 && size > pageBytes {
			break
		}
		n++
	}
	return n
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	era := w.Header().Get(headerEra)
	for {
		s.mu.Lock()
		if s.eraHeader() != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if (after < s.compacted || after > s.revision) && !s.stalled {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		s.setEra(w)
		events := s.changesSince(after, q.Get("prefix"))
		changed, revision, mode := s.changed, s.revision, s.mode
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		if mode != Serving {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline.C:
			writeJSON(w, map[string]any{"events": []Item{}, "current_rev": after})
			return
		}
	}
}

// serveTxn handles unconditional writes; the nodes make no others.
func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		SetKeys []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"set_keys"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, set := range txn.SetKeys {
		if strings.HasPrefix(set.Key, "op/") || strings.HasPrefix(set.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		s.Put(set.Key, set.Value)
	}
	writeJSON(w, map[string]any{"revision": s.Revision()})
}

// Revision returns the newest revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// changesSince returns the changes after a revision to keys with a prefix. The caller holds
// s.mu.
func (s *Store) changesSince(after int64, prefix string) []Item {
	if s.stalled {
		return nil
	}
	var out []Item
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			out = append(out, item)
		}
	}
	return out
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}
