package socket

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// EndConn is a connection whose Read returns io.EOF only if the peer has closed the connection in order.
// The operating system reports the failure of a connection once: if a Write gets it, the next Read of the
// connection itself returns io.EOF. The Read of an EndConn returns the error of the Write instead.
type EndConn struct {
	net.Conn

	writing sync.Mutex
	// writeErr is the error of the first write that failed; guarded by writing.
	writeErr error
}

// NewEndConn returns conn as an EndConn.
func NewEndConn(conn net.Conn) *EndConn { return &EndConn{Conn: conn} }

// Write implements net.Conn.
func (c *EndConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil && !isLocal(err) {
		c.writeErr = err
	}
	return n, err
}

// isLocal reports whether a write failed on this side: the connection was closed, or its deadline passed.
func isLocal(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}

// Read implements net.Conn.
func (c *EndConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns the error of a Read that found the end of the connection. A write in progress may
// already have got the connection's error, so it is ended: the peer sends nothing more.
func (c *EndConn) endError() error {
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(pastDeadline) // fails only on a closed connection
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return errors.Wrap(c.writeErr, "connection ended after a failed write")
	}
	return io.EOF
}

// pastDeadline makes reads or writes in progress return.
var pastDeadline = time.Unix(1, 0)

// WriteError returns the error of the first write that failed, nil if none did.
func (c *EndConn) WriteError() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}
