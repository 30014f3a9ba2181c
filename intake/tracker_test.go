package intake

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/telemetry"
)

// fakeConn records the calls that end a connection.
type fakeConn struct {
	net.Conn
	ended, closed bool
}

func (c *fakeConn) SetReadDeadline(t time.Time) error {
	c.ended = !t.IsZero()
	return nil
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// newTestTracker returns a tracker with a limit on connections.
func newTestTracker(limit int) *Tracker {
	m := NewMetrics(telemetry.NewMetricFactory(prometheus.NewRegistry(), ""))
	return NewTracker(Limits{Conns: limit}, m, nil, clock.Monotonic)
}

func TestConnLimitLeavesRoomForTargets(t *testing.T) {
	is := is.New(t)
	is.Equal(connLimit(0), 0)
	is.Equal(connLimit(100), 1)
	limit := connLimit(4200)
	is.True(limit > 1000 && 2*limit+filesReserved < 4200)
}

// Above the limit, an idle connection is evicted for a new one. If none is idle, the new one is
// closed without being read.
func TestNewConnectionEvictsAnIdleOne(t *testing.T) {
	is := is.New(t)
	tracker := newTestTracker(2)
	var conns [4]fakeConn
	tracker.OnStateChange(&conns[0], http.StateNew)
	tracker.OnStateChange(&conns[0], http.StateActive)
	is.True(!tracker.NearLimit())
	tracker.OnStateChange(&conns[1], http.StateNew)
	tracker.OnStateChange(&conns[1], http.StateActive)
	tracker.OnStateChange(&conns[1], http.StateIdle)
	is.True(tracker.NearLimit())

	tracker.OnStateChange(&conns[2], http.StateNew)
	is.True(conns[1].ended && !conns[1].closed && !conns[0].ended)
	is.True(!conns[2].closed)
	tracker.OnStateChange(&conns[2], http.StateActive)
	tracker.OnStateChange(&conns[1], http.StateClosed)

	tracker.OnStateChange(&conns[3], http.StateNew)
	is.True(conns[3].closed)
	is.True(!conns[0].ended && !conns[2].ended)
	tracker.OnStateChange(&conns[3], http.StateClosed)
	is.Equal(tracker.Count(), 2)
}

// A request whose first byte arrived just before its idle connection was evicted is still read.
func TestRequestOnEvictedConnectionIsServed(t *testing.T) {
	is := is.New(t)
	tracker := newTestTracker(1)
	var idle, added fakeConn
	tracker.OnStateChange(&idle, http.StateNew)
	tracker.OnStateChange(&idle, http.StateIdle)
	tracker.OnStateChange(&added, http.StateNew)
	is.True(idle.ended)
	tracker.OnStateChange(&idle, http.StateActive)
	is.True(!idle.ended)
}

// A busy connection is closed once its answer is written, since its caller was not asked to
// close it. Requests that arrive on it before that are refused.
func TestBusyConnectionClosesAfterItsAnswer(t *testing.T) {
	is := is.New(t)
	tracker := newTestTracker(0)
	var busy, idle fakeConn
	for _, c := range []*fakeConn{&busy, &idle} {
		tracker.OnStateChange(c, http.StateNew)
		tracker.OnStateChange(c, http.StateActive)
	}
	tracker.OnStateChange(&idle, http.StateIdle)
	is.True(!tracker.IsClosing())
	tracker.Close()
	is.True(tracker.IsClosing())
	is.True(idle.ended && !idle.closed) // a first byte may have been read
	is.True(!busy.ended)
	tracker.OnStateChange(&busy, http.StateIdle)
	tracker.Close()
	is.True(busy.ended && !busy.closed)
}
