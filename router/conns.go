package router

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// A node that runs out of descriptors can neither take a connection, a readiness
// check included, nor open one to a target, which then looks unreachable. Callers
// that come back on a new connection each time, and leave the old one idle, get
// it there within seconds of a surge.
const (
	// filesReserved are left for the store, other nodes, readiness checks,
	// metrics and the runtime.
	filesReserved = 300
	// callersPart is the part of the other descriptors for callers: each request
	// in progress has a connection to a target as well, and a few idle ones are
	// kept.
	callersPart = 0.45
	// crowdedPart is the part of the callers' connections from which answers ask
	// callers to close theirs.
	crowdedPart = 0.6
)

// connLimit returns how many connections callers may have if the node may open
// maxFiles descriptors; 0 stands for no limit in both.
func connLimit(maxFiles int) int {
	if maxFiles <= 0 {
		return 0
	}
	return max(int(callersPart*float64(maxFiles-filesReserved)), 1)
}

// connTracker knows the callers' connections and which of them are idle.
type connTracker struct {
	// limit is the most connections, 0 for any number.
	limit int
	// evicted and rejected count idle connections that were ended for new ones,
	// and new ones for which there was no room.
	evicted, rejected prometheus.Counter

	mu    sync.Mutex
	conns map[net.Conn]http.ConnState
	idle  map[net.Conn]struct{}
	// closing says that the node takes no further request.
	closing bool
}

func newConnTracker(limit int, m *metrics) *connTracker {
	return &connTracker{
		limit: limit, evicted: m.connections.WithLabelValues("evicted"),
		rejected: m.connections.WithLabelValues("rejected"),
		conns:    make(map[net.Conn]http.ConnState), idle: make(map[net.Conn]struct{}),
	}
}

// change is the server's ConnState hook.
func (t *connTracker) change(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.idle, c)
	if s == http.StateClosed || s == http.StateHijacked {
		delete(t.conns, c)
		return
	}
	t.conns[c] = s
	switch s {
	case http.StateNew:
		t.makeRoom(c)
	case http.StateIdle:
		t.idle[c] = struct{}{}
	case http.StateActive:
		// close or makeRoom may have come between the request's first byte
		// and this.
		_ = c.SetReadDeadline(time.Time{})
	}
}

// makeRoom ends an idle connection for a new one that is over the limit. If none
// is idle it closes the new one, of which nothing was read: its caller may send
// the request again at once. It is called with the lock held.
func (t *connTracker) makeRoom(added net.Conn) {
	if t.limit == 0 || len(t.conns) <= t.limit {
		return
	}
	for c := range t.idle {
		delete(t.idle, c)
		_ = c.SetReadDeadline(longAgo) // fails only on a closed connection
		t.evicted.Inc()
		return
	}
	t.rejected.Inc()
	_ = added.Close()
}

// crowded says whether answers are to ask callers to close their connections.
func (t *connTracker) crowded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limit > 0 && float64(len(t.conns)) > crowdedPart*float64(t.limit)
}

func (t *connTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// close says that the node takes no further request, and ends the connections that
// are between requests. It ends their wait for a next request and does not close them
// itself: one whose first byte was read a moment ago gets an answer. Busy connections
// are ended by a later call, once their answers are written; a caller that goes on at
// once gets a refusal there, which tells it more than a request that crossed a close.
func (t *connTracker) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closing = true
	for c, s := range t.conns {
		if s == http.StateIdle || s == http.StateNew {
			_ = c.SetReadDeadline(longAgo) // fails only on a closed connection
		}
	}
}

// closes says whether the node takes no further request.
func (t *connTracker) closes() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closing
}

var longAgo = time.Unix(1, 0)
