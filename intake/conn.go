package intake

import (
	"bytes"
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// fieldBytes is what a line of a header takes once it is decoded, besides its text: its entries in the maps of the
// request and of its copy to a target, and the slices of its values.
const fieldBytes = 256

// Listen returns a listener whose connections the tracker accounts for. The server must also have the tracker's
// OnStateChange and ConnContext as its hooks.
func (t *Tracker) Listen(ln net.Listener) net.Listener { return &listener{Listener: ln, tracker: t} }

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, errors.CombineErrors(errors.Newf("intake: connection is a %T, not TCP", c), c.Close())
	}
	_ = tcp.SetReadBuffer(receiveBuffer) // fails only on a closed connection
	own := &Conn{TCPConn: tcp, tracker: l.tracker}
	own.beforeRequest.Store(true)
	return own, nil
}

// Conn is a caller's connection. It reports the bytes of headers, which net/http reads on its own, and the time that
// its writes take.
type Conn struct {
	*net.TCPConn
	tracker *Tracker
	// beforeRequest is set from the end of a request to the end of the next one's header.
	beforeRequest atomic.Bool
	// request is the request in progress, nil for none.
	request atomic.Pointer[Request]

	deadlines sync.Mutex // held to set a deadline
	ended     bool
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.beforeRequest.Load() && !c.tracker.receivedHeader(c, p[:n]) {
		return 0, os.ErrDeadlineExceeded // on which net/http closes the connection without an answer
	}
	return n, err
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	before := c.tracker.beginWrite(c)
	n, err := c.TCPConn.Write(p)
	c.tracker.endWrite(c, before)
	return n, err
}

// SetReadDeadline implements net.Conn. It has no effect on a connection that was ended.
func (c *Conn) SetReadDeadline(d time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.ended {
		return nil
	}
	return c.TCPConn.SetReadDeadline(d)
}

// end makes the reads of the connection fail from now on.
func (c *Conn) end() {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.ended = true
	_ = c.TCPConn.SetReadDeadline(pastDeadline) // fails only on a closed connection
}

type connKey struct{}

// ConnContext is the http.Server's hook of that name. It makes the connection known to Of.
func (t *Tracker) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// receivedHeader accounts for a part of the bytes before the body of a request. It reports whether there is room.
func (t *Tracker) receivedHeader(c *Conn, p []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.conns[c]
	if h == nil || h.evicted {
		return false
	}
	t.revive(h)
	now := t.now()
	if h.phase == Silent || h.phase == Idle {
		t.ledger.Enter(h, Header, now)
	}
	size := int64(len(p) + fieldBytes*bytes.Count(p, lineEnd))
	if t.acquire(h, size) {
		return true
	}
	t.metrics.noRoom.Inc()
	t.logEnded()
	return false
}

var lineEnd = []byte{'\n'}

// acquire grants n bytes and ends the connections that are evicted for them. The caller must hold t.mu.
func (t *Tracker) acquire(h *Holder, n int64) bool {
	evicted, ok := t.ledger.Acquire(h, n, t.now())
	for _, v := range evicted {
		t.end(v)
	}
	return ok
}

// beginWrite notes that a write is in progress. It returns the phase to return to.
func (t *Tracker) beginWrite(c *Conn) Phase {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.conns[c]
	if h == nil {
		return Serving
	}
	before := h.phase
	t.ledger.Enter(h, Writing, t.now())
	return before
}

func (t *Tracker) endWrite(c *Conn, before Phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.conns[c]; h != nil && h.phase == Writing {
		t.ledger.Enter(h, before, t.now())
	}
}
