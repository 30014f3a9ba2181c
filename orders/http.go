package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/socket"
)

// The paths of an engine's order interface. PUT DesiredPath returns 202 once the
// engine has started to apply the order, 409 for an old fencing number, 412 for
// another incarnation and 422 for an order that the engine can't apply.
const (
	DesiredPath = "/v1/orders/desired"
	StatePath   = "/v1/orders/state"
)

const (
	maxStateBytes   = 64 << 10
	maxIdleEngines  = 64
	idleConnTimeout = time.Minute
)

// HTTPClient is an EngineClient over HTTP.
type HTTPClient struct {
	reads *http.Client
	dial  net.Dialer
}

var _ EngineClient = (*HTTPClient)(nil)

// NewHTTPClient returns a client without timeouts of its own; the callers' contexts
// set the deadlines.
func NewHTTPClient() *HTTPClient {
	return &HTTPClient{reads: &http.Client{Transport: &http.Transport{
		MaxIdleConns: maxIdleEngines, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout,
		MaxResponseHeaderBytes: socket.MaxResponseHeaderBytes,
	}}}
}

// guardedConn calls the guard right before each write, so that a process that was
// paused after the order was planned sends no part of it.
type guardedConn struct {
	net.Conn
	guard Guard
	wrote *atomic.Bool
}

func (c guardedConn) Write(b []byte) (int, error) {
	if err := c.guard(); err != nil {
		return 0, err
	}
	c.wrote.Store(true)
	return c.Conn.Write(b)
}

// Apply implements EngineClient. Each order uses a new connection, so that no bytes
// of an earlier order can be on it, and closes it at the end.
func (c *HTTPClient) Apply(ctx context.Context, addr string, o Order, guard Guard) error {
	raw, err := json.Marshal(o)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "orders: encode"), ErrNotSent)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+addr+DesiredPath, bytes.NewReader(raw))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "orders: request"), ErrNotSent)
	}
	req.Header.Set("Content-Type", "application/json")
	var wrote atomic.Bool
	resp, err := c.transport(guard, &wrote).RoundTrip(req)
	switch {
	case err != nil && !wrote.Load():
		return errors.Mark(errors.Wrapf(err, "order to %s", addr), ErrNotSent)
	case err != nil:
		return errors.Mark(errors.Wrapf(err, "order to %s", addr), ErrUncertain)
	}
	defer func() { _ = resp.Body.Close() }()
	return orderError(resp.StatusCode)
}

func (c *HTTPClient) transport(guard Guard, wrote *atomic.Bool) *http.Transport {
	return &http.Transport{
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: socket.MaxResponseHeaderBytes,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := c.dial.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return guardedConn{Conn: conn, guard: guard, wrote: wrote}, nil
		},
	}
}

// orderError maps the status of an engine's response to an error.
func orderError(status int) error {
	switch status {
	case http.StatusAccepted, http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrStaleFence
	case http.StatusPreconditionFailed:
		return ErrIncarnation
	case http.StatusUnprocessableEntity, http.StatusBadRequest:
		return ErrRefused
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return errors.Wrapf(ErrNotSent, "engine is busy: status %d", status)
	}
	return errors.Wrapf(ErrUncertain, "status %d", status)
}

// Read implements EngineClient.
func (c *HTTPClient) Read(ctx context.Context, addr string) (State, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+StatePath, nil)
	if err != nil {
		return State{}, errors.Wrap(err, "orders: request")
	}
	resp, err := c.reads.Do(req)
	if err != nil {
		return State{}, errors.Wrapf(err, "state of %s", addr)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return State{}, errors.Newf("read the state of %s: status %d", addr, resp.StatusCode)
	}
	var s State
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&s)
	return s, errors.Wrapf(err, "state of %s", addr)
}
