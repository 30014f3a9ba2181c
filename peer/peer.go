// Package peer carries JSON-RPC 2.0 calls between nodes over TCP.
package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/telemetry"
)

// ServiceID is the kernel name of the Hub.
const ServiceID kernel.ID = "peer.hub"

const dialTimeout = time.Second

// ErrUnreachable means that the peer could not be connected to; it has not
// seen the call.
var ErrUnreachable = errors.New("peer: unreachable; the VM may be gone")

// Handler serves one method. The result is sent as JSON.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Hub serves this node's methods and calls those of other nodes, each over
// one connection that is dialed when first needed.
type Hub struct {
	listen string
	log    *log.Logger

	mu       sync.Mutex
	handlers map[string]Handler
	conns    map[string]*jsonrpc2.Conn
	listener net.Listener

	bytes    *prometheus.CounterVec
	messages *prometheus.CounterVec
}

// NewHub returns a hub that will listen on "ip:port".
func NewHub(listen string, l *log.Logger, reg prometheus.Registerer) *Hub {
	f := promauto.With(reg)
	return &Hub{
		listen:   listen,
		log:      l,
		handlers: make(map[string]Handler),
		conns:    make(map[string]*jsonrpc2.Conn),
		bytes: f.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "peer", Name: "bytes_total",
			Help: "Payload bytes exchanged with other nodes.",
		}, []string{"direction"}),
		messages: f.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "peer", Name: "messages_total",
			Help: "Calls and notifications sent to and received from other nodes, by method.",
		}, []string{"direction", "method"}),
	}
}

// ID implements kernel.Service.
func (h *Hub) ID() kernel.ID { return ServiceID }

// Handle serves method with f. It must be called before Start.
func (h *Hub) Handle(method string, f Handler) { h.handlers[method] = f }

// Start implements kernel.Starter: it listens before it returns.
func (h *Hub) Start(ctx context.Context) error {
	ln, err := net.Listen("tcp", h.listen)
	if err != nil {
		return errors.WithHint(errors.Wrap(err, "peer: listen"), "set --peer-listen to a free ip:port of this VM")
	}
	h.listener = ln
	go h.accept(ctx, ln)
	return nil
}

// Stop implements kernel.Stopper.
func (h *Hub) Stop(context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for addr, c := range h.conns {
		_ = c.Close()
		delete(h.conns, addr)
	}
	return h.listener.Close()
}

func (h *Hub) accept(ctx context.Context, ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		h.serve(ctx, c)
	}
}

func (h *Hub) serve(ctx context.Context, c net.Conn) *jsonrpc2.Conn {
	counted := &countedConn{Conn: c, in: h.bytes.WithLabelValues("in"), out: h.bytes.WithLabelValues("out")}
	stream := jsonrpc2.NewBufferedStream(counted, jsonrpc2.VarintObjectCodec{})
	return jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(h.dispatch)))
}

func (h *Hub) dispatch(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	f, ok := h.handlers[r.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
	h.messages.WithLabelValues("in", r.Method).Inc()
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	return f(ctx, params)
}

// Call runs a method on the peer at addr and waits for its result.
func (h *Hub) Call(ctx context.Context, addr, method string, params, result any) error {
	c, err := h.conn(ctx, addr)
	if err != nil {
		return err
	}
	h.messages.WithLabelValues("out", method).Inc()
	err = c.Call(ctx, method, params, result)
	h.dropIfClosed(addr, c)
	return errors.Wrapf(err, "peer: %s", method)
}

// Notify sends a method to the peer at addr without waiting for a result.
func (h *Hub) Notify(ctx context.Context, addr, method string, params any) error {
	c, err := h.conn(ctx, addr)
	if err != nil {
		return err
	}
	h.messages.WithLabelValues("out", method).Inc()
	err = c.Notify(ctx, method, params)
	h.dropIfClosed(addr, c)
	return errors.Wrapf(err, "peer: %s", method)
}

func (h *Hub) conn(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	h.mu.Lock()
	c, ok := h.conns[addr]
	h.mu.Unlock()
	if ok {
		return c, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "%s: %v", addr, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if c, ok := h.conns[addr]; ok {
		_ = raw.Close()
		return c, nil
	}
	c = h.serve(context.WithoutCancel(ctx), raw)
	h.conns[addr] = c
	return c, nil
}

func (h *Hub) dropIfClosed(addr string, c *jsonrpc2.Conn) {
	select {
	case <-c.DisconnectNotify():
	default:
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conns[addr] == c {
		delete(h.conns, addr)
	}
}

type countedConn struct {
	net.Conn
	in, out prometheus.Counter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(float64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(float64(n))
	return n, err
}
