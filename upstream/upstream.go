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
type Client struct {
	http *http.Client

	mu sync.Mutex
	// tunnels are the open connections that another node carries.
	tunnels map[*sendConn]struct{}
}

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
	client := &Client{tunnels: make(map[*sendConn]struct{})}
	client.http = &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dial(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return client.track(conn), nil
			},
			MaxIdleConnsPerHost: c.MaxIdle,
			IdleConnTimeout:     c.IdleTimeout,
			DisableCompression:  true,
			DisableKeepAlives:   c.NewConnPerRequest,

			MaxResponseHeaderBytes: socket.MaxResponseHeaderBytes,
		},
		// Redirects are not followed: they are answers of the target like any other.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return client
}

// tunneled is implemented by connections that another node carries, at the returned ip:port.
type tunneled interface{ Via() string }

// track wraps a new connection.
func (c *Client) track(conn net.Conn) *sendConn {
	out := &sendConn{EndConn: socket.NewEndConn(conn)}
	if t, ok := conn.(tunneled); ok {
		out.via = t.Via()
		out.onClose = func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(c.tunnels, out)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.tunnels[out] = struct{}{}
	}
	return out
}

// RetireTunnels closes the connections that the node at via carries, or those of all nodes if via is
// empty, as soon as no request uses them. Requests in progress are not affected.
func (c *Client) RetireTunnels(via string) {
	c.mu.Lock()
	retired := make([]*sendConn, 0, len(c.tunnels))
	for conn := range c.tunnels {
		if via == "" || conn.via == via {
			retired = append(retired, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range retired {
		conn.retire()
	}
}

// CloseIdle closes the connections that are not in use.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// NonReplayableBody wraps the body of a request so that the transport cannot repeat the request. Closing it closes
// body, if that is an io.Closer.
func NonReplayableBody(body io.Reader) io.ReadCloser {
	if c, ok := body.(io.Closer); ok {
		return readCloser{readerOnly{body}, c}
	}
	return io.NopCloser(readerOnly{body})
}

type readerOnly struct{ io.Reader }

type readCloser struct {
	io.Reader
	io.Closer
}

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

// ConnInfo describes the connection that a request is sent on.
type ConnInfo interface {
	// Via returns the ip:port of the node that carries the connection, empty for a direct one.
	Via() string
	// WriteError returns the error of the first write that failed, nil if none did.
	WriteError() error
}

// connKey is the context key of the function of WithConn.
type connKey struct{}

// WithConn returns a context for a request whose connection Client.Do passes to f.
func WithConn(ctx context.Context, f func(ConnInfo)) context.Context {
	return context.WithValue(ctx, connKey{}, f)
}

// Do sends req. gate is called right before the first byte is written and may forbid the
// request. On failure, Do returns how far the request got; the connection is closed by then, so
// NotSent is final.
func (c *Client) Do(req *http.Request, gate func() bool) (*http.Response, retry.Progress, error) {
	reportConn, _ := req.Context().Value(connKey{}).(func(ConnInfo))
	var mu sync.Mutex
	var conns []*sendConn
	var ended func()
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*sendConn)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			ended = conn.begin(gate)
			if reportConn != nil {
				reportConn(conn)
			}
			conns = append(conns, conn)
		},
		PutIdleConn: func(error) {
			mu.Lock()
			defer mu.Unlock()
			if ended != nil {
				ended()
			}
		},
	}
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
	*socket.EndConn
	// via is the node that carries the connection, empty for a direct one; onClose may be nil.
	via     string
	onClose func()

	mu     sync.Mutex
	gate   func() bool
	wrote  bool
	sealed bool
	// request counts the requests on the connection. inUse is set while one uses it, retired if it
	// is to be closed after that.
	request        int
	inUse, retired bool
}

// begin starts a request on the connection. The returned function ends it when the connection is idle
// again.
func (c *sendConn) begin(gate func() bool) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate, c.wrote, c.inUse = gate, false, true
	c.request++
	request := c.request
	return func() { c.end(request) }
}

// end ends a request, unless the next one has begun meanwhile.
func (c *sendConn) end(request int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request != request {
		return
	}
	c.inUse = false
	c.closeRetired()
}

// retire closes the connection when no request uses it.
func (c *sendConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	c.closeRetired()
}

// closeRetired closes the connection if it is retired and not in use. A request that begins on it at
// the same time fails before its first byte is sent. The caller must hold c.mu.
func (c *sendConn) closeRetired() {
	if c.retired && !c.inUse && !c.sealed {
		c.sealed = true
		_ = c.Close()
	}
}

// seal closes the connection, so that nothing more can be written, and reports whether a byte
// of the current request was written.
func (c *sendConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	_ = c.Close()
	return c.wrote
}

// Close implements net.Conn.
func (c *sendConn) Close() error {
	if c.onClose != nil {
		c.onClose()
	}
	return c.EndConn.Close()
}

// Write implements net.Conn.
func (c *sendConn) Write(p []byte) (int, error) {
	if err := c.open(); err != nil {
		return 0, err
	}
	return c.EndConn.Write(p)
}

// Via implements ConnInfo.
func (c *sendConn) Via() string { return c.via }

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
