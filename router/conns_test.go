package router

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// fakeConn records what is done to a connection.
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

// Beyond the limit an idle connection makes room for a new one. If none is idle,
// the new one is closed unread.
func TestNewConnectionTakesThePlaceOfAnIdleOne(t *testing.T) {
	is := is.New(t)
	tracker := newConnTracker(2, newMetrics(prometheus.NewRegistry()))
	var conns [4]fakeConn
	tracker.change(&conns[0], http.StateNew)
	tracker.change(&conns[0], http.StateActive)
	is.True(!tracker.crowded())
	tracker.change(&conns[1], http.StateNew)
	tracker.change(&conns[1], http.StateActive)
	tracker.change(&conns[1], http.StateIdle)
	is.True(tracker.crowded())

	tracker.change(&conns[2], http.StateNew)
	is.True(conns[1].ended && !conns[1].closed && !conns[0].ended)
	is.True(!conns[2].closed)
	tracker.change(&conns[2], http.StateActive)
	tracker.change(&conns[1], http.StateClosed)

	tracker.change(&conns[3], http.StateNew)
	is.True(conns[3].closed)
	is.True(!conns[0].ended && !conns[2].ended)
	tracker.change(&conns[3], http.StateClosed)
	is.Equal(tracker.count(), 2)
}

// A request whose first byte came just before its idle connection was ended is
// read all the same.
func TestEndedConnectionWithARequestIsServed(t *testing.T) {
	is := is.New(t)
	tracker := newConnTracker(1, newMetrics(prometheus.NewRegistry()))
	var idle, added fakeConn
	tracker.change(&idle, http.StateNew)
	tracker.change(&idle, http.StateIdle)
	tracker.change(&added, http.StateNew)
	is.True(idle.ended)
	tracker.change(&idle, http.StateActive)
	is.True(!idle.ended)
}

// A busy connection is ended once its answer is written, since its caller was not
// asked to close it. What comes on it before gets a refusal.
func TestBusyConnectionEndsAfterItsAnswer(t *testing.T) {
	is := is.New(t)
	tracker := newConnTracker(0, newMetrics(prometheus.NewRegistry()))
	var busy, idle fakeConn
	for _, c := range []*fakeConn{&busy, &idle} {
		tracker.change(c, http.StateNew)
		tracker.change(c, http.StateActive)
	}
	tracker.change(&idle, http.StateIdle)
	is.True(!tracker.closes())
	tracker.close()
	is.True(tracker.closes())
	is.True(idle.ended && !idle.closed) // a first byte may have been read
	is.True(!busy.ended)
	tracker.change(&busy, http.StateIdle)
	tracker.close()
	is.True(busy.ended && !busy.closed)
}
