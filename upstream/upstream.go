// Package upstream sends requests to targets. For a failed request it reports whether any byte
// was handed to the network.
package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/retry"
	"github.com/knapweedgw/knapweedgw/socket"
)

// ErrGateClosed is the cause of an error of Client.Do if its gate function forbade the request.
var ErrGateClosed = errors.New("request may no longer be sent")

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Config configures the connections of a Client.
type Config struct {
	// Dial opens the connections; nil for the network with the options below.
	Dial DialFunc
	// NewConnPerRequest means that each request gets a new connection.
	NewConnPerRequest bool
	// MaxIdle is the maximum number of idle connections to one target, IdleTimeout how long
	// each is kept.
	MaxIdle     int
	IdleTimeout time.Duration
	DialTimeout time.Duration
	// UnackedTimeout is how long sent bytes may stay unacknowledged; 0 for the operating system's
	// limit.
	UnackedTimeout time.Duration
	KeepAlive      net.KeepAliveConfig
}

// Client sends requests to targets. The transport of net/http retries some requests on its own
// when a kept connection turns out to be closed: those without a body that are idempotent by
// method or have an Idempotency-Key. A request that must not be repeated therefore needs a body
// of unknown content (see NonReplayableBody) or a client with NewConnPerRequest, on whose new
// connections the transport never retries.
type Client struct{ http *http.Client }

// NetworkDial returns the function that opens connections over the network with the options of c.
func NetworkDial(c Config) DialFunc {
	d := &net.Dialer{Timeout: c.DialTimeout, KeepAliveConfig: c.KeepAlive}
	if c.UnackedTimeout > 0 {
		d.Control = socket.UnackedTimeout(c.UnackedTimeout)
	}
	return d.DialContext
}

// New returns a client.
func New(c Config) *Client {
	dial := c.Dial
	if dial == nil {
		dial = NetworkDial(c)
	}
	return &Client{&http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dial(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &sendConn{Conn: conn}, nil
			},
			MaxIdleConnsPerHost: c.MaxIdle,
			IdleConnTimeout:     c.IdleTimeout,
			DisableCompression:  true,
			DisableKeepAlives:   c.NewConnPerRequest,
		},
		// Redirects are not followed: they are answers of the target like any other.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// CloseIdle closes the connections that are not in use.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// NonReplayableBody wraps the body of a request so that the transport cannot repeat the request.
func NonReplayableBody(body io.Reader) io.ReadCloser { return io.NopCloser(readerOnly{body}) }

type readerOnly struct{ io.Reader }

// IsDial reports whether a request failed because no connection could be opened.
func IsDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// IsRefused reports whether a connection was refused: the target's VM is alive, but nothing
// listens at the target's address.
func IsRefused(err error) bool { return IsDial(err) && errors.Is(err, syscall.ECONNREFUSED) }

// IsLocal reports whether a request failed because this node lacked a resource, which is no
// evidence against the target.
func IsLocal(err error) bool {
	for _, cause := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// Do sends req. gate is called right before the first byte is written and may forbid the
// request. On failure, Do returns how far the request got; the connection is closed by then, so
// NotSent is final.
func (c *Client) Do(req *http.Request, gate func() bool) (*http.Response, retry.Progress, error) {
	var mu sync.Mutex
	var conns []*sendConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*sendConn)
		if !ok {
			return
		}
		conn.begin(gate)
		mu.Lock()
		conns = append(conns, conn)
		mu.Unlock()
	}}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, retry.Sent, nil
	}
	mu.Lock()
	defer mu.Unlock()
	progress := retry.NotSent
	for _, conn := range conns {
		if conn.seal() {
			progress = retry.Sent
		}
	}
	return nil, progress, err
}

// sendConn is a connection that records whether any byte of the current request was handed to
// the network.
type sendConn struct {
	net.Conn

	mu     sync.Mutex
	gate   func() bool
	wrote  bool
	sealed bool
}

// begin starts a request on the connection.
func (c *sendConn) begin(gate func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate, c.wrote = gate, false
}

// seal closes the connection, so that nothing more can be written, and reports whether a byte
// of the current request was written.
func (c *sendConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	_ = c.Conn.Close()
	return c.wrote
}

// Write implements net.Conn.
func (c *sendConn) Write(p []byte) (int, error) {
	if err := c.open(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// ReadFrom sends a body through Write, so that its gate is checked.
func (c *sendConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(writerOnly{c}, r)
}

type writerOnly struct{ io.Writer }

func (c *sendConn) open() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return net.ErrClosed
	}
	if !c.wrote && c.gate != nil && !c.gate() {
		return ErrGateClosed
	}
	// The gate is released: its reference would keep the request in memory while the connection
	// is idle.
	c.wrote, c.gate = true, nil
	return nil
}
