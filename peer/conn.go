package peer

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxMessageBytes is the maximum size of a message. The platform's values have
	// at most 1 MB, which is 1.4 MB in base64.
	maxMessageBytes = 8 << 20
	// writeTimeout is the time limit of each write. Once the buffers on the way to a
	// frozen or disconnected peer are full, writes fail with this timeout.
	writeTimeout = 2 * time.Second
	// silenceTimeout is how long a call must have waited, with nothing read from the
	// peer, before its connection is closed.
	silenceTimeout = time.Second
	// unackedTimeout is how long sent data may stay unacknowledged before the
	// connection is closed.
	unackedTimeout = 5 * time.Second
)

// keepAlive detects within about 11 s that the peer of an idle connection is gone.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

var errTooLarge = errors.Newf("peer: message of more than %d bytes; send it in parts", maxMessageBytes)

// countedConn counts the bytes read and written and sets a deadline for each write.
type countedConn struct {
	net.Conn
	in, out    prometheus.Counter
	lastReadAt atomic.Int64 // Unix nanoseconds
}

func (h *Hub) newCountedConn(raw net.Conn) *countedConn {
	return &countedConn{
		Conn: raw,
		in:   h.metrics.bytes.WithLabelValues("in"),
		out:  h.metrics.bytes.WithLabelValues("out"),
	}
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(float64(n))
	c.lastReadAt.Store(time.Now().UnixNano())
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.out.Add(float64(n))
	return n, err
}

func (c *countedConn) lastRead() time.Time { return time.Unix(0, c.lastReadAt.Load()) }

// closeWrite closes the sending side after all data has been sent, so that the peer
// reads an end of file.
func (c *countedConn) closeWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// debugLogger writes the log lines of package jsonrpc2 at debug level.
type debugLogger struct{ log *log.Logger }

// Printf implements jsonrpc2.Logger.
func (l debugLogger) Printf(format string, v ...any) { l.log.Debugf(format, v...) }
