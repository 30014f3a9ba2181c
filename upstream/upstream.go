// Package upstream sends requests to targets and says, of a request that
// failed, whether any byte of it was handed to the network.
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

// ErrGateClosed is returned by a write that its gate forbade.
var ErrGateClosed = errors.New("request may no longer be sent")

// Config sets how a client keeps connections.
type Config struct {
	// Fresh gives each request a connection of its own.
	Fresh bool
	// MaxIdle is the most idle connections kept to one target, IdleTimeout
	// how long each is kept.
	MaxIdle     int
	IdleTimeout time.Duration
	DialTimeout time.Duration
	// Unacked is how long sent bytes may stay unacknowledged; 0 for the
	// system's limit.
	Unacked   time.Duration
	KeepAlive net.KeepAliveConfig
}

// Client sends to targets. net/http's transport repeats some requests by
// itself when a kept connection turns out to be closed: those without a body
// that are idempotent by method or carry an Idempotency-Key. A request that
// may not be repeated must therefore have a body of unknown content (see
// NoReplay) or go to a Fresh client, whose connections the transport never
// repeats on.
type Client struct{ http *http.Client }

// New returns a client.
func New(c Config) *Client {
	d := &net.Dialer{Timeout: c.DialTimeout, KeepAliveConfig: c.KeepAlive}
	if c.Unacked > 0 {
		d.Control = socket.UnackedTimeout(c.Unacked)
	}
	return &Client{&http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := d.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &sendConn{Conn: conn}, nil
			},
			MaxIdleConnsPerHost: c.MaxIdle,
			IdleConnTimeout:     c.IdleTimeout,
			DisableCompression:  true,
			DisableKeepAlives:   c.Fresh,
		},
		// An answer is the target's own, redirects included.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// CloseIdle closes the connections that are not in use.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// NoReplay returns the body of a request that the transport must not repeat
// by itself.
func NoReplay(body io.Reader) io.ReadCloser { return io.NopCloser(readerOnly{body}) }

type readerOnly struct{ io.Reader }

// IsDial says whether a failed request got no connection.
func IsDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// IsRefused says whether a connection was refused: nothing listens at the target's
// address, while its VM lives.
func IsRefused(err error) bool { return IsDial(err) && errors.Is(err, syscall.ECONNREFUSED) }

// IsLocal says whether a request failed for want of this node's own resources,
// which says nothing of the target.
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

// Do sends req. gate is asked right before the first byte is written and may
// forbid it. On failure Do says how far the request got; the connection is
// closed by then, so that NotSent is final.
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

// sendConn is a connection that knows whether any byte of the current request
// was handed to the network.
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

// seal forbids any further write and says whether there was one.
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

// ReadFrom sends a body through Write.
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
	// The gate is done with; it would keep the request alive while the connection idles.
	c.wrote, c.gate = true, nil
	return nil
}
