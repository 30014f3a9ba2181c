// Package peer carries JSON-RPC 2.0 calls between nodes over TCP. A node opens one
// connection to each peer that it calls, and answers calls on the connections that
// it accepts. So there are at most two connections between two nodes, one for the
// calls of each.
package peer

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/socket"
)

// ServiceID is the kernel name of the Hub.
const ServiceID kernel.ID = "peer.hub"

// DefaultCallTimeout is the deadline of a call or notification whose context
// has none.
const DefaultCallTimeout = 5 * time.Second

const (
	// closeTimeout limits how long Stop waits for handlers in progress and for peers
	// to read what was sent.
	closeTimeout = time.Second
	// maxInbound is the maximum number of open accepted connections. A node of a
	// fleet of 370 has at most 369.
	maxInbound = 2048
	// acceptRetryDelay is the wait after a failed accept, for example when the
	// process has no file descriptor left.
	acceptRetryDelay = 50 * time.Millisecond
	// idlePollInterval is how often Stop checks whether handlers are in progress.
	idlePollInterval = 5 * time.Millisecond
)

// ErrUnreachable means that no connection to the peer could be opened; the peer has
// not received the call.
var ErrUnreachable = errors.New("peer: unreachable; the VM may be gone")

// ErrBusy means that the peer has too many calls in progress; it has not run the
// call.
var ErrBusy = errors.New("peer: busy; try again later or another peer")

// Handler serves one method. Its result is sent as JSON. The ctx of a request ends
// when the connection to the caller is closed. A handler of a notification must not
// wait for other notifications of the same peer, since these may not be read until
// it returns.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Hub serves this node's methods and calls those of other nodes.
type Hub struct {
	listen  string
	log     *log.Logger
	metrics *metrics

	handlers map[string]Handler
	// limits holds a semaphore for each method with a limit of concurrent calls.
	limits   map[string]chan struct{}
	inFlight atomic.Int64 // handlers in progress
	// idleTimeout is how long an unused connection is kept open; 0 means no limit.
	idleTimeout time.Duration

	mu       sync.Mutex
	stopped  bool
	listener net.Listener
	links    map[string]*link
	inbound  map[*jsonrpc2.Conn]struct{}
}

// NewHub returns a hub that listens on the address listen ("ip:port") once started.
func NewHub(listen string, l *log.Logger, reg prometheus.Registerer) *Hub {
	return &Hub{
		listen:   listen,
		log:      l,
		metrics:  newMetrics(reg),
		handlers: make(map[string]Handler),
		limits:   make(map[string]chan struct{}),
		links:    make(map[string]*link),
		inbound:  make(map[*jsonrpc2.Conn]struct{}),
	}
}

// ID implements kernel.Service.
func (h *Hub) ID() kernel.ID { return ServiceID }

// Handle registers f as the handler of method. It must be called before Start.
func (h *Hub) Handle(method string, f Handler) { h.handlers[method] = f }

// LimitConcurrency sets the maximum number of concurrent calls of a method, over all peers
// together; further callers get ErrBusy. A call counts until its result is written.
// LimitConcurrency must be called before Start and does not apply to notifications.
func (h *Hub) LimitConcurrency(method string, limit int) {
	h.limits[method] = make(chan struct{}, limit)
}

// CloseIdleAfter makes the hub close connections that no call has used for d. A
// connection takes about 25 kB at either end, so this is for nodes that call each
// other seldom. It must be called before Start.
func (h *Hub) CloseIdleAfter(d time.Duration) { h.idleTimeout = d }

// Start implements kernel.Starter: it listens before it returns. Connections
// are served until Stop, or until ctx ends.
func (h *Hub) Start(ctx context.Context) error {
	lc := net.ListenConfig{KeepAliveConfig: keepAlive, Control: socket.UnackedTimeout(unackedTimeout)}
	ln, err := lc.Listen(ctx, "tcp", h.listen)
	if err != nil {
		return errors.WithHint(errors.Wrap(err, "peer: listen"), "set --peer-listen to a free ip:port of this VM")
	}
	h.listener = ln
	go h.accept(ctx, ln)
	if h.idleTimeout > 0 {
		go h.closeIdleLinks(ctx)
	}
	return nil
}

// closeIdleLinks closes unused connections periodically until ctx ends or the hub
// stops.
func (h *Hub) closeIdleLinks(ctx context.Context) {
	tick := time.NewTicker(h.idleTimeout)
	defer tick.Stop()
	for !h.isStopped() {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, l := range h.allLinks() {
				l.closeIdle(now, h.idleTimeout)
			}
		}
	}
}

func (h *Hub) allLinks() []*link {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Values(h.links))
}

// Addr returns the address that the hub listens on, "ip:port".
func (h *Hub) Addr() string { return h.listener.Addr().String() }

// Stop implements kernel.Stopper. It accepts no more connections, waits up to
// closeTimeout for handlers in progress to answer and for peers to read what was
// sent, and closes every connection.
func (h *Hub) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	h.mu.Lock()
	h.stopped = true
	err := h.listener.Close()
	links, inbound := h.links, h.inbound
	h.links, h.inbound = make(map[string]*link), make(map[*jsonrpc2.Conn]struct{})
	h.mu.Unlock()

	h.waitIdle(ctx)
	var shutdowns sync.WaitGroup
	for _, l := range links {
		shutdowns.Go(func() { l.shutdown(ctx) })
	}
	shutdowns.Wait()
	for c := range inbound {
		_ = c.Close()
	}
	return errors.Wrap(err, "peer: close listener")
}

// Call calls a method on the peer at addr and waits for its result until ctx ends, or
// for DefaultCallTimeout if ctx has no deadline. After ErrUnreachable and ErrBusy,
// which are returned wrapped, the peer has not run the call; after other errors it may
// have.
func (h *Hub) Call(ctx context.Context, addr, method string, params, result any) error {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	err := h.link(addr).use(ctx, func(c *outbound) error {
		h.metrics.messages.WithLabelValues("out", method).Inc()
		return c.call(ctx, method, params, result)
	})
	return h.countFailure(err, method)
}

// Notify sends a notification to the peer at addr without waiting for a result. It
// returns nil once the message is written to the connection; the peer may still not
// receive it.
func (h *Hub) Notify(ctx context.Context, addr, method string, params any) error {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	err := h.link(addr).use(ctx, func(c *outbound) error {
		h.metrics.messages.WithLabelValues("out", method).Inc()
		return c.notify(ctx, method, params)
	})
	return h.countFailure(err, method)
}

// countFailure counts a failed call or notification by its reason and wraps the error.
func (h *Hub) countFailure(err error, method string) error {
	if err == nil {
		return nil
	}
	h.metrics.failures.WithLabelValues(failureReason(err)).Inc()
	return errors.Wrapf(err, "peer: %s", method)
}

// link returns the link to addr, whether connected or not.
func (h *Hub) link(addr string) *link {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, ok := h.links[addr]
	if !ok {
		h.dropIdleLinks()
		l = &link{addr: addr, hub: h, closed: h.stopped}
		h.links[addr] = l
	}
	return l
}

// dropIdleLinks removes unconnected links once there are many, so that the addresses
// of replaced VMs don't accumulate.
func (h *Hub) dropIdleLinks() {
	const many = 1024
	if len(h.links) < many {
		return
	}
	for addr, l := range h.links {
		if l.idle() {
			delete(h.links, addr)
		}
	}
}

func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, DefaultCallTimeout)
}

// waitIdle waits until no handler is in progress or ctx ends.
func (h *Hub) waitIdle(ctx context.Context) {
	tick := time.NewTicker(idlePollInterval)
	defer tick.Stop()
	for h.inFlight.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
