package router

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// A node without free file descriptors can neither accept a connection, including a readiness
// check, nor open one to a target, which then looks unreachable. Callers that open a new
// connection for each request and leave the old one idle exhaust the descriptors within seconds
// of a load surge.
const (
	// filesReserved is the number of descriptors left for the store, other nodes, readiness
	// checks, metrics and the runtime.
	filesReserved = 300
	// callerConnShare is the share of the remaining descriptors for callers' connections: each
	// request in progress also has a connection to a target, and a few idle ones are kept.
	callerConnShare = 0.45
	// nearLimitShare is the share of the limit on callers' connections above which answers ask
	// callers to close theirs.
	nearLimitShare = 0.6
)

// connLimit returns the maximum number of callers' connections if the node may open maxFiles
// descriptors. In both, 0 means no limit.
func connLimit(maxFiles int) int {
	if maxFiles <= 0 {
		return 0
	}
	return max(int(callerConnShare*float64(maxFiles-filesReserved)), 1)
}

// connTracker tracks the callers' connections and their states.
type connTracker struct {
	// limit is the maximum number of connections, 0 for no limit.
	limit int
	// evicted counts idle connections that were closed in favor of new ones, rejected new
	// connections that were closed because none was idle.
	evicted, rejected prometheus.Counter

	mu    sync.Mutex
	conns map[net.Conn]http.ConnState
	idle  map[net.Conn]struct{}
	// closing means that the node accepts no further requests.
	closing bool
}

func newConnTracker(limit int, m *metrics) *connTracker {
	return &connTracker{
		limit: limit, evicted: m.connections.WithLabelValues("evicted"),
		rejected: m.connections.WithLabelValues("rejected"),
		conns:    make(map[net.Conn]http.ConnState), idle: make(map[net.Conn]struct{}),
	}
}

// onStateChange is the http.Server's ConnState hook.
func (t *connTracker) onStateChange(c net.Conn, s http.ConnState) {
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
		// close or makeRoom may have set an expired deadline between the arrival of the
		// request's first byte and this call.
		_ = c.SetReadDeadline(time.Time{})
	}
}

// makeRoom evicts an idle connection if the new one exceeds the limit. If none is idle, it
// closes the new one, from which nothing was read, so that its caller can safely resend the
// request at once. The caller must hold t.mu.
func (t *connTracker) makeRoom(newConn net.Conn) {
	if t.limit == 0 || len(t.conns) <= t.limit {
		return
	}
	for c := range t.idle {
		delete(t.idle, c)
		_ = c.SetReadDeadline(pastDeadline) // fails only on a closed connection
		t.evicted.Inc()
		return
	}
	t.rejected.Inc()
	_ = newConn.Close()
}

// nearLimit reports whether answers should ask callers to close their connections.
func (t *connTracker) nearLimit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limit > 0 && float64(len(t.conns)) > nearLimitShare*float64(t.limit)
}

func (t *connTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// close makes the node accept no further requests and ends the connections that are between
// requests. It expires their read deadline instead of closing them, so that a request whose
// first byte was just read is still answered. Busy connections are ended by a later call, once
// their answers are written. A caller that sends another request on one of them gets a refusal,
// which is more informative than a connection closed while the request was in transit.
func (t *connTracker) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closing = true
	for c, s := range t.conns {
		if s == http.StateIdle || s == http.StateNew {
			_ = c.SetReadDeadline(pastDeadline) // fails only on a closed connection
		}
	}
}

// isClosing reports whether the node accepts no further requests.
func (t *connTracker) isClosing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closing
}

var pastDeadline = time.Unix(1, 0)
