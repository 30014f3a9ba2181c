// Package intake bounds what a process holds for its callers together: their connections and the bytes that are kept
// for their requests. When room is short it ends the connections that have waited for their clients for longest.
package intake

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/telemetry"
)

// nearLimitShare is the share of the limit on connections above which answers ask callers to close theirs: callers
// that open a new connection for each request and leave the old one idle exhaust them within seconds of a load surge.
const nearLimitShare = 0.6

// logInterval is the minimum time between two log lines on connections that were ended.
const logInterval = time.Second

// Metrics counts the connections that a Tracker ends.
type Metrics struct {
	// evicted counts idle connections closed in favor of new ones, rejected new ones closed since there was no room,
	// stalled those ended while they waited for their client, and noRoom those whose header found no room.
	evicted, rejected, stalled, noRoom prometheus.Counter
	bytes, conns                       prometheus.Gauge
}

// NewMetrics registers the metrics of a Tracker.
func NewMetrics(f telemetry.MetricFactory) *Metrics {
	ended := f.CounterVec("connections_ended_total",
		"Callers' connections ended for want of descriptors or memory: idle ones evicted for new ones, new ones rejected, "+
			"stalled ones that waited for their client, and ones with no room for their header.", "how")
	return &Metrics{
		evicted: ended.WithLabelValues("evicted"), rejected: ended.WithLabelValues("rejected"),
		stalled: ended.WithLabelValues("stalled"), noRoom: ended.WithLabelValues("no_room"),
		bytes: f.Gauge("held_bytes", "Bytes kept for callers' requests that count toward the limit."),
		conns: f.Gauge("connections", "Callers' open connections."),
	}
}

// Tracker tracks the connections of callers and what is kept for them. It is safe for concurrent use.
type Tracker struct {
	limits  Limits
	metrics *Metrics
	log     *log.Logger
	now     func() time.Time

	mu     sync.Mutex
	ledger *Ledger
	conns  map[net.Conn]*Holder
	owners map[*Holder]net.Conn
	// closing means that the node accepts no further requests.
	closing bool
	// ended counts the connections ended since the last log line on them, at loggedAt.
	ended    int
	loggedAt time.Time
}

// NewTracker returns a tracker without connections.
func NewTracker(limits Limits, m *Metrics, l *log.Logger, now func() time.Time) *Tracker {
	return &Tracker{
		limits: limits, metrics: m, log: l, now: now, ledger: NewLedger(limits),
		conns: make(map[net.Conn]*Holder), owners: make(map[*Holder]net.Conn),
	}
}

// OnStateChange is the http.Server's ConnState hook.
func (t *Tracker) OnStateChange(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.publish()
	if s == http.StateClosed || s == http.StateHijacked {
		t.remove(c)
		return
	}
	h := t.conns[c]
	switch {
	case s == http.StateNew:
		t.add(c)
	case h == nil: // rejected
	case s == http.StateIdle:
		t.ledger.Enter(h, Idle, t.now())
		if own, ok := c.(*Conn); ok {
			own.beforeRequest.Store(true)
		}
	case s == http.StateActive:
		t.revive(h)
		if h.phase.precedesRequest() {
			t.ledger.Enter(h, Serving, t.now())
		}
		if !h.Evicted() {
			// Close or an eviction may have set an expired deadline between the arrival of the request's first
			// byte and this call.
			_ = c.SetReadDeadline(time.Time{})
		}
	}
}

// add admits a new connection. If there is no room it closes it: nothing was read from it, so that its caller can
// safely resend the request at once. The caller must hold t.mu.
func (t *Tracker) add(c net.Conn) {
	h := &Holder{}
	evicted, ok := t.ledger.Open(h, t.now())
	if !ok {
		t.metrics.rejected.Inc()
		t.logEnded()
		_ = c.Close()
		return
	}
	t.conns[c], t.owners[h] = h, c
	if evicted != nil {
		t.end(evicted)
	}
}

func (t *Tracker) remove(c net.Conn) {
	h := t.conns[c]
	if h == nil {
		return
	}
	t.ledger.Close(h)
	delete(t.conns, c)
	delete(t.owners, h)
}

// revive takes back the eviction of an idle connection on which a request had begun to arrive.
func (t *Tracker) revive(h *Holder) {
	if !h.open && !h.evicted {
		t.ledger.reopen(h, t.now())
	}
}

// end ends a connection that the ledger evicted. Its deadline expires instead of a close, so that a request whose
// first byte was just read is still answered, and one whose body has stopped is refused. The caller must hold t.mu.
func (t *Tracker) end(h *Holder) {
	c := t.owners[h]
	if h.phase == Idle {
		t.metrics.evicted.Inc()
		_ = c.SetReadDeadline(pastDeadline) // fails only on a closed connection
		return
	}
	t.metrics.stalled.Inc()
	t.logEnded()
	if h.phase == Writing {
		_ = c.SetWriteDeadline(pastDeadline)
	}
	_ = c.SetReadDeadline(pastDeadline)
	if own, ok := c.(*Conn); ok {
		own.end()
	}
}

// EndStalled ends all connections whose client is to send and stands still. A node that stops calls it from time to time.
func (t *Tracker) EndStalled() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.ledger.EvictStalled(t.now()) {
		t.end(h)
	}
}

// logEnded writes a line on ended connections, at most one per logInterval. The caller must hold t.mu.
func (t *Tracker) logEnded() {
	t.ended++
	now := t.now()
	if t.log == nil || now.Sub(t.loggedAt) < logInterval {
		return
	}
	t.log.Warn("connections ended for want of room", "count", t.ended, "connections", t.ledger.Conns(),
		"limit", t.limits.Conns, "bytes", t.ledger.Bytes(), "bytes_limit", t.limits.Bytes)
	t.ended, t.loggedAt = 0, now
}

// publish sets the gauges. The caller must hold t.mu.
func (t *Tracker) publish() {
	t.metrics.conns.Set(float64(t.ledger.Conns()))
	t.metrics.bytes.Set(float64(t.ledger.Bytes()))
}

// NearLimit reports whether answers should ask callers to close their connections.
func (t *Tracker) NearLimit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits.Conns > 0 && float64(t.ledger.Conns()) > nearLimitShare*float64(t.limits.Conns)
}

// Count returns the number of connections that aren't closed yet.
func (t *Tracker) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// Close makes the node accept no further requests and ends the connections that are between requests. It expires
// their read deadline instead of closing them, so that a request whose first byte was just read is still answered.
// Busy connections are ended by a later call, once their answers are written. A caller that sends another request on
// one of them gets a refusal, which is more informative than a connection closed while the request was in transit.
func (t *Tracker) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closing = true
	for c, h := range t.conns {
		if h.phase == Idle || h.phase == Silent {
			_ = c.SetReadDeadline(pastDeadline) // fails only on a closed connection
		}
	}
}

// IsClosing reports whether the node accepts no further requests.
func (t *Tracker) IsClosing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closing
}

var pastDeadline = time.Unix(1, 0)
