package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/knapweedgw/knapweedgw/socket"
)

const (
	dialTimeout = time.Second
	// minBackoff and maxBackoff bound the pause after a failed dial. Calls
	// within the pause fail at once, so a lost peer costs its callers nothing
	// and a returning one is not stormed.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// errBackoff is ErrUnreachable without a new attempt to connect.
var errBackoff = errors.Wrap(ErrUnreachable, "peer: last dial failed")

// link is the way to one peer: at most one connection, dialed when needed.
type link struct {
	addr string
	hub  *Hub

	mu       sync.Mutex
	closed   bool
	current  *outbound
	dial     *dialing // in progress; nil for none
	failures int
	retryAt  time.Time
	// users are the calls in progress, and usedAt is when the last one ended.
	users  int
	usedAt time.Time
}

// dialing is one attempt to connect, shared by all who wait for it.
type dialing struct {
	done chan struct{}
	conn *outbound
	err  error
}

// use runs f with the connection, dialing if there is none. Meanwhile the
// connection doesn't count as idle.
func (l *link) use(ctx context.Context, f func(*outbound) error) error {
	l.mu.Lock()
	l.users++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.users--
		l.usedAt = time.Now()
	}()
	c, err := l.conn(ctx)
	if err != nil {
		return err
	}
	return f(c)
}

// closeIdle closes the connection if no call has used it for a time.
func (l *link) closeIdle(now time.Time, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || l.users > 0 || now.Sub(l.usedAt) < after {
		return
	}
	_ = l.current.rpc.Close()
	l.current = nil
}

// conn returns the connection, dialing if there is none.
func (l *link) conn(ctx context.Context) (*outbound, error) {
	l.mu.Lock()
	if l.isConnected() {
		defer l.mu.Unlock()
		return l.current, nil
	}
	if l.closed || l.dial == nil && time.Now().Before(l.retryAt) {
		defer l.mu.Unlock()
		return nil, errBackoff
	}
	if l.dial == nil {
		l.dial = &dialing{done: make(chan struct{})}
		go l.connect(l.dial)
	}
	d := l.dial
	l.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrUnreachable, "%s: %v", l.addr, ctx.Err())
	}
}

// connect dials on its own time, since several callers wait for it.
func (l *link) connect(d *dialing) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: socket.UnackedTimeout(unackedTimeout)}
	raw, err := dialer.Dial("tcp", l.addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(d.done)
	l.dial = nil
	if err != nil {
		l.hub.metrics.dials.WithLabelValues("failed").Inc()
		l.failures++
		l.retryAt = time.Now().Add(backoff(l.failures, rand.Float64()))
		d.err = errors.Wrapf(ErrUnreachable, "%s: %v", l.addr, err)
		return
	}
	l.hub.metrics.dials.WithLabelValues("connected").Inc()
	l.failures = 0
	l.current = newOutbound(raw, l.hub)
	d.conn = l.current
	if l.closed {
		_ = l.current.rpc.Close()
	}
}

// backoff returns the pause after the n-th failed dial in a row; jitter is
// from 0 to 1 and takes away up to half.
func backoff(n int, jitter float64) time.Duration {
	const maxDoublings = 10
	d := min(minBackoff<<min(n-1, maxDoublings), maxBackoff)
	return d - time.Duration(jitter*float64(d)/2)
}

func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.isConnected() && l.dial == nil && time.Now().After(l.retryAt)
}

func (l *link) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isConnected()
}

// isConnected is called with the lock held.
func (l *link) isConnected() bool { return l.current != nil && !l.current.disconnected() }

// shutdown closes the link after the peer has read what was sent, at most
// until ctx ends.
func (l *link) shutdown(ctx context.Context) {
	l.mu.Lock()
	l.closed = true
	c := l.current
	l.mu.Unlock()
	if c == nil {
		return
	}
	c.shutdown(ctx)
}

// outbound is a connection that this node dialed. Only its own calls and
// their results travel on it.
type outbound struct {
	rpc  *jsonrpc2.Conn
	raw  *countedConn
	lane chan struct{} // held by the one who writes
}

func newOutbound(raw net.Conn, h *Hub) *outbound {
	counted := h.count(raw)
	refuse := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side only calls"}
	})
	return &outbound{
		rpc:  h.newConn(context.Background(), counted, refuse),
		raw:  counted,
		lane: make(chan struct{}, 1),
	}
}

func (o *outbound) disconnected() bool {
	select {
	case <-o.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

// call sends a request and waits for its result. A connection on which
// nothing at all came back until the deadline is closed, so that the next call
// dials anew.
func (o *outbound) call(ctx context.Context, method string, params, result any) error {
	start := time.Now()
	var w jsonrpc2.Waiter
	err := o.write(ctx, func() (err error) {
		w, err = o.rpc.DispatchCall(ctx, method, params)
		return err
	})
	if err != nil {
		return err
	}
	err = w.Wait(ctx, result)
	if errors.Is(err, context.DeadlineExceeded) && o.raw.lastRead().Before(start) && time.Since(start) >= silenceLimit {
		_ = o.rpc.Close()
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) && remote.Code == codeBusy {
		return ErrBusy
	}
	return err
}

func (o *outbound) notify(ctx context.Context, method string, params any) error {
	return o.write(ctx, func() error { return o.rpc.Notify(ctx, method, params) })
}

// write runs f, which writes one message, when no other is being written. A
// failed write may have sent half a message, so it closes the connection.
func (o *outbound) write(ctx context.Context, f func() error) error {
	select {
	case o.lane <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-o.lane }()
	err := f()
	if err != nil && !errors.Is(err, errTooLarge) {
		_ = o.rpc.Close()
	}
	return err
}

func (o *outbound) shutdown(ctx context.Context) {
	_ = o.write(ctx, o.raw.closeWrite)
	select {
	case <-o.rpc.DisconnectNotify():
	case <-ctx.Done():
	}
	_ = o.rpc.Close()
}
