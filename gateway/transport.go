package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/retry"
)

const (
	idleConnsPerTarget = 64
	targetIdleTimeout  = 30 * time.Second
	dialTimeout        = time.Second
)

// targetKeepAlive finds a VM that is lost without closing its connections
// within 11 s; a slow target still acknowledges.
var targetKeepAlive = net.KeepAliveConfig{
	Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3,
}

// errGateClosed is returned by a write that its gate forbade.
var errGateClosed = errors.New("request may no longer be sent")

// clients sends to targets. net/http's transport repeats some requests by
// itself when a kept connection turns out to be closed: those without a body
// that are idempotent by method or carry an Idempotency-Key. Requests that
// may not be repeated therefore get a fresh connection each, on which the
// transport never repeats.
type clients struct {
	kept  *http.Client
	fresh *http.Client
}

func newClients() clients {
	return clients{kept: newClient(false), fresh: newClient(true)}
}

func newClient(fresh bool) *http.Client {
	d := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: targetKeepAlive}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := d.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &sendConn{Conn: conn}, nil
			},
			MaxIdleConnsPerHost: idleConnsPerTarget,
			IdleConnTimeout:     targetIdleTimeout,
			DisableCompression:  true,
			DisableKeepAlives:   fresh,
		},
		// An answer is the target's own, redirects included.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// do sends req. gate is asked right before the first byte is written and may
// forbid it. On failure do says how far the request got; the connection is
// closed by then, so that NotSent is final.
func (c clients) do(req *http.Request, repeatable bool, gate func() bool) (*http.Response, retry.Progress, error) {
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
	client := c.fresh
	if repeatable {
		client = c.kept
	}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
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
		return errGateClosed
	}
	c.wrote = true
	return nil
}
