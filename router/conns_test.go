package router

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
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
	tracker := newConnTracker(2, newMetrics(prometheus.NewRegistry()))
	var conns [4]fakeConn
	tracker.onStateChange(&conns[0], http.StateNew)
	tracker.onStateChange(&conns[0], http.StateActive)
	is.True(!tracker.nearLimit())
	tracker.onStateChange(&conns[1], http.StateNew)
	tracker.onStateChange(&conns[1], http.StateActive)
	tracker.onStateChange(&conns[1], http.StateIdle)
	is.True(tracker.nearLimit())

	tracker.onStateChange(&conns[2], http.StateNew)
	is.True(conns[1].ended && !conns[1].closed && !conns[0].ended)
	is.True(!conns[2].closed)
	tracker.onStateChange(&conns[2], http.StateActive)
	tracker.onStateChange(&conns[1], http.StateClosed)

	tracker.onStateChange(&conns[3], http.StateNew)
	is.True(conns[3].closed)
	is.True(!conns[0].ended && !conns[2].ended)
	tracker.onStateChange(&conns[3], http.StateClosed)
	is.Equal(tracker.count(), 2)
}

// A request whose first byte arrived just before its idle connection was evicted is still read.
func TestRequestOnEvictedConnectionIsServed(t *testing.T) {
	is := is.New(t)
	tracker := newConnTracker(1, newMetrics(prometheus.NewRegistry()))
	var idle, added fakeConn
	tracker.onStateChange(&idle, http.StateNew)
	tracker.onStateChange(&idle, http.StateIdle)
	tracker.onStateChange(&added, http.StateNew)
	is.True(idle.ended)
	tracker.onStateChange(&idle, http.StateActive)
	is.True(!idle.ended)
}

// A busy connection is closed once its answer is written, since its caller was not asked to
// close it. Requests that arrive on it before that are refused.
func TestBusyConnectionClosesAfterItsAnswer(t *testing.T) {
	is := is.New(t)
	tracker := newConnTracker(0, newMetrics(prometheus.NewRegistry()))
	var busy, idle fakeConn
	for _, c := range []*fakeConn{&busy, &idle} {
		tracker.onStateChange(c, http.StateNew)
		tracker.onStateChange(c, http.StateActive)
	}
	tracker.onStateChange(&idle, http.StateIdle)
	is.True(!tracker.isClosing())
	tracker.close()
	is.True(tracker.isClosing())
	is.True(idle.ended && !idle.closed) // a first byte may have been read
	is.True(!busy.ended)
	tracker.onStateChange(&busy, http.StateIdle)
	tracker.close()
	is.True(busy.ended && !busy.closed)
}
