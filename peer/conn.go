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
	// maxMessageBytes bounds a message; the platform's values have at most
	// 1 MB, which is 1.4 MB in base64.
	maxMessageBytes = 8 << 20
	// writeTimeout is how long the network may take to accept a message; a
	// peer that is frozen or cut off fills its buffers and then fails here.
	writeTimeout = 2 * time.Second
	// silenceLimit is how long a call must have waited, with nothing read
	// from the peer, for its connection to be given up.
	silenceLimit = time.Second
	// unackedTimeout is how long sent data may stay unacknowledged.
	unackedTimeout = 5 * time.Second
)

// keepAlive finds idle connections whose peer is gone within about 11 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

var errTooLarge = errors.Newf("peer: message of more than %d bytes; send it in parts", maxMessageBytes)

// countedConn counts bytes and bounds the time of each write.
type countedConn struct {
	net.Conn
	in, out prometheus.Counter
	read    atomic.Int64 // time of the last read in Unix nanoseconds
}

func (h *Hub) count(raw net.Conn) *countedConn {
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
	c.read.Store(time.Now().UnixNano())
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

func (c *countedConn) lastRead() time.Time { return time.Unix(0, c.read.Load()) }

// closeWrite tells the peer that no more comes, after all that was sent.
func (c *countedConn) closeWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// debugLogger takes the log lines of package jsonrpc2.
type debugLogger struct{ log *log.Logger }

// Printf implements jsonrpc2.Logger.
func (l debugLogger) Printf(format string, v ...any) { l.log.Debugf(format, v...) }
