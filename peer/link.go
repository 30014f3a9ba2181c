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
	// minBackoff and maxBackoff bound the backoff after a failed dial. Calls during
	// the backoff fail at once, so that callers don't wait for a lost peer and a
	// returning peer is not overloaded by dials.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// errBackoff is the ErrUnreachable of a call during the backoff, which does not dial.
var errBackoff = errors.Wrap(ErrUnreachable, "peer: in backoff after a failed dial")

// link manages the connection to one peer: at most one, dialed when needed.
type link struct {
	addr string
	hub  *Hub

	mu          sync.Mutex
	closed      bool
	current     *outbound
	dial        *dialAttempt // in progress; nil if none
	failures    int
	retryAt     time.Time
	activeCalls int
	lastUsed    time.Time // when the last call ended
}

// dialAttempt is one dial, shared by all callers that wait for it.
type dialAttempt struct {
	done chan struct{}
	conn *outbound
	err  error
}

// use calls f with the connection, dialing if there is none. While f runs, the
// connection is not idle.
func (l *link) use(ctx context.Context, f func(*outbound) error) error {
	l.mu.Lock()
	l.activeCalls++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.activeCalls--
		l.lastUsed = time.Now()
	}()
	c, err := l.conn(ctx)
	if err != nil {
		return err
	}
	return f(c)
}

// closeIdle closes the connection if no call has used it for idleTimeout.
func (l *link) closeIdle(now time.Time, idleTimeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || l.activeCalls > 0 || now.Sub(l.lastUsed) < idleTimeout {
		return
	}
	_ = l.current.rpc.Close()
	l.current = nil
}

// conn returns the connection, dialing if there is none. It returns errBackoff if the
// link is closed or in backoff.
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
		l.dial = &dialAttempt{done: make(chan struct{})}
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

// connect dials with its own timeout rather than a caller's context, since several
// callers wait for the result.
func (l *link) connect(d *dialAttempt) {
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

// backoff returns the time without dials after the n-th failed dial in a row. The
// jitter, from 0 to 1, shortens it by up to half.
func backoff(n int, jitter float64) time.Duration {
	const maxDoublings = 10
	d := min(minBackoff<<min(n-1, maxDoublings), maxBackoff)
	return d - time.Duration(jitter*float64(d)/2)
}

// idle returns whether the link has no connection, dial or backoff.
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

// isConnected returns whether there is an open connection. The lock must be held.
func (l *link) isConnected() bool { return l.current != nil && !l.current.disconnected() }

// shutdown closes the link after the peer has read what was sent, or when ctx ends.
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

// outbound is a connection that this node dialed. It carries only calls of this node
// and their results.
type outbound struct {
	rpc       *jsonrpc2.Conn
	raw       *countedConn
	writeLock chan struct{} // a channel, so that waiting ends with a context
}

func newOutbound(raw net.Conn, h *Hub) *outbound {
	counted := h.newCountedConn(raw)
	refuseAll := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side only calls"}
	})
	return &outbound{
		rpc:       h.newConn(context.Background(), counted, refuseAll),
		raw:       counted,
		writeLock: make(chan struct{}, 1),
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

// call sends a request and waits for its result. If nothing was received on the
// connection until the deadline, at least silenceTimeout after the start of the call,
// it closes the connection, so that the next call dials again.
func (o *outbound) call(ctx context.Context, method string, params, result any) error {
	start := time.Now()
	var waiter jsonrpc2.Waiter
	err := o.write(ctx, func() (err error) {
		waiter, err = o.rpc.DispatchCall(ctx, method, params)
		return err
	})
	if err != nil {
		return err
	}
	err = waiter.Wait(ctx, result)
	if errors.Is(err, context.DeadlineExceeded) && o.raw.lastRead().Before(start) && time.Since(start) >= silenceTimeout {
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

// write calls f, which writes one message, while holding the write lock. A failed
// write may have sent part of a message, so it closes the connection.
func (o *outbound) write(ctx context.Context, f func() error) error {
	select {
	case o.writeLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-o.writeLock }()
	err := f()
	if err != nil && !errors.Is(err, errTooLarge) {
		_ = o.rpc.Close()
	}
	return err
}

// shutdown closes the sending side, waits until the peer closes the connection or ctx
// ends, and closes it.
func (o *outbound) shutdown(ctx context.Context) {
	_ = o.write(ctx, o.raw.closeWrite)
	select {
	case <-o.rpc.DisconnectNotify():
	case <-ctx.Done():
	}
	_ = o.rpc.Close()
}
