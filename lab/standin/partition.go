package standin

import (
	"context"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/knapweedgw/knapweedgw/router"
	"github.com/knapweedgw/knapweedgw/socket"
)

// PathFault is a fault of the network path between a node and all engines.
type PathFault int

// The faults of a path.
const (
	// PathOpen is no fault.
	PathOpen PathFault = iota
	// PathHang loses all packets in both directions.
	PathHang
	// PathReset resets open connections and refuses new ones.
	PathReset
	// PathRefuse refuses new connections; open ones live on.
	PathRefuse
	// PathOneWay loses the packets from the engines; those to them arrive.
	PathOneWay
)

var pathFaultNames = []string{"open", "hang", "reset", "refuse", "one_way"}

// String returns the name of the fault.
func (f PathFault) String() string { return pathFaultNames[f] }

// PathFaultOf returns the fault with a name, PathOpen for any other.
func PathFaultOf(name string) PathFault { return PathFault(max(slices.Index(pathFaultNames, name), 0)) }

// The options that a node sets for its connections to targets, which its operating system would apply.
const (
	pathDialTimeout = router.DialTimeout
	pathUserTimeout = router.UnackedTimeout
	// pathProbeTimeout is how soon after a path has begun to lose packets keep-alive probes give up at
	// the earliest: the last answer to one came up to an idle time before. On Linux, TCP_USER_TIMEOUT
	// decides, whatever the count of probes, but not before the second probe.
	pathProbeTimeout = max(pathUserTimeout, router.KeepAliveIdle+router.KeepAliveInterval) - router.KeepAliveIdle
)

// EnginePath is the network between one node and all engines.
type EnginePath struct {
	mu      sync.Mutex
	fault   PathFault
	changed chan struct{} // closed at each change of fault
	conns   map[*pathConn]struct{}
	// dials counts the connections that were opened.
	dials int
}

// NewEnginePath returns a path without a fault.
func NewEnginePath() *EnginePath {
	return &EnginePath{changed: make(chan struct{}), conns: make(map[*pathConn]struct{})}
}

// SetFault changes the fault of the path.
func (p *EnginePath) SetFault(f PathFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	switch f {
	case PathReset:
		for c := range p.conns {
			c.fail(syscall.ECONNRESET)
		}
		clear(p.conns)
	case PathHang, PathOneWay:
		for c := range p.conns {
			c.failUnless(p.changed, pathProbeTimeout)
		}
	}
}

// Dials returns how many connections were opened over the path.
func (p *EnginePath) Dials() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Fault returns the present fault.
func (p *EnginePath) Fault() PathFault {
	f, _ := p.current()
	return f
}

func (p *EnginePath) current() (PathFault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed
}

// Dial opens a connection to an engine over the path.
func (p *EnginePath) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, pathDialTimeout)
	defer cancel()
	for {
		fault, changed := p.current()
		switch fault {
		case PathReset, PathRefuse:
			return nil, dialError(network, os.NewSyscallError("connect", syscall.ECONNREFUSED))
		case PathHang, PathOneWay:
			select {
			case <-ctx.Done():
				return nil, dialError(network, os.ErrDeadlineExceeded)
			case <-changed:
			}
		default:
			return p.dialOpen(ctx, network, addr)
		}
	}
}

func (p *EnginePath) dialOpen(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &pathConn{Conn: conn, path: p, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials++
	p.conns[c] = struct{}{}
	return c, nil
}

func dialError(network string, cause error) error {
	return &net.OpError{Op: "dial", Net: network, Err: cause}
}

// pathConn is a connection over an EnginePath.
type pathConn struct {
	net.Conn
	path *EnginePath

	once   sync.Once
	closed chan struct{}
	mu     sync.Mutex
	// cause is why the connection ended, nil for an orderly end. unackedSince is when the first
	// write was made that the fault of the path keeps from being acknowledged.
	cause        error
	unackedSince time.Time
}

// fail ends the connection with an error.
func (c *pathConn) fail(cause error) {
	c.mu.Lock()
	if c.cause == nil {
		c.cause = cause
	}
	c.mu.Unlock()
	c.once.Do(func() { close(c.closed) })
	socket.Reset(c.Conn)
}

// failUnless fails the connection after d, unless the path changes before.
func (c *pathConn) failUnless(changed <-chan struct{}, d time.Duration) {
	go func() {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-changed:
		case <-c.closed:
		case <-timer.C:
			c.fail(syscall.ETIMEDOUT)
		}
	}()
}

func (c *pathConn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause == nil {
		return nil
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.cause)}
}

// Read implements net.Conn.
func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if werr := c.await(PathHang, PathOneWay); werr != nil {
		return 0, werr
	}
	if cause := c.failure(); cause != nil {
		return 0, cause
	}
	return n, err
}

// Write implements net.Conn. A write while packets are lost succeeds, as long as the socket's buffer
// has room; its bytes arrive when the fault ends, unless the connection has failed by then.
func (c *pathConn) Write(b []byte) (int, error) {
	if cause := c.failure(); cause != nil {
		return 0, cause
	}
	fault, _ := c.path.current()
	if fault != PathHang && fault != PathOneWay {
		return c.Conn.Write(b)
	}
	c.startUserTimeout()
	if fault == PathOneWay {
		return c.Conn.Write(b)
	}
	held := append([]byte(nil), b...)
	go func() {
		if c.await(PathHang) == nil {
			_, _ = c.Conn.Write(held)
		}
	}()
	return len(b), nil
}

// startUserTimeout fails the connection after pathUserTimeout (TCP_USER_TIMEOUT) unless the path is
// open again by then.
func (c *pathConn) startUserTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unackedSince.IsZero() {
		return
	}
	c.unackedSince = time.Now()
	time.AfterFunc(pathUserTimeout, func() {
		fault, _ := c.path.current()
		if fault == PathHang || fault == PathOneWay {
			c.fail(syscall.ETIMEDOUT)
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.unackedSince = time.Time{}
	})
}

// await blocks while the path has one of the faults. It returns an error if the connection ended
// meanwhile.
func (c *pathConn) await(faults ...PathFault) error {
	for {
		fault, changed := c.path.current()
		blocked := false
		for _, f := range faults {
			blocked = blocked || f == fault
		}
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-c.closed:
			if cause := c.failure(); cause != nil {
				return cause
			}
			return net.ErrClosed
		}
	}
}

// Close implements net.Conn.
func (c *pathConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.path.mu.Lock()
	delete(c.path.conns, c)
	c.path.mu.Unlock()
	return c.Conn.Close()
}
