package peer

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Limits of the messages of one peer that are handled concurrently. A request above
// the limit is refused at once. A notification above the limit blocks reading from
// the connection, which slows its sender. The limits are separate, so that requests
// that wait for capacity don't block the notifications that free it.
const (
	maxRequests      = 1024
	maxNotifications = 256
)

// codeBusy is the JSON-RPC error code of ErrBusy.
const codeBusy = -32001

// accept serves new connections until the hub stops or ctx ends.
func (h *Hub) accept(ctx context.Context, ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			if h.isStopped() || ctx.Err() != nil {
				return
			}
			h.log.Warn("cannot accept peer connection", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		h.serve(ctx, c)
	}
}

// serve starts serving an accepted connection, or closes it if the hub is stopped or
// has maxInbound connections.
func (h *Hub) serve(ctx context.Context, raw net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped || len(h.inbound) >= maxInbound {
		h.metrics.refusals.WithLabelValues("connections").Inc()
		_ = raw.Close()
		return
	}
	s := &session{
		hub:           h,
		requests:      make(chan struct{}, maxRequests),
		notifications: make(chan struct{}, maxNotifications),
	}
	c := h.newConn(ctx, h.newCountedConn(raw), s)
	h.inbound[c] = struct{}{}
	h.metrics.connections.Inc()
	go func() {
		<-c.DisconnectNotify()
		h.metrics.connections.Dec()
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.inbound, c)
	}()
}

func (h *Hub) isStopped() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopped
}

func (h *Hub) newConn(ctx context.Context, raw *countedConn, handler jsonrpc2.Handler) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(raw, newCodec())
	return jsonrpc2.NewConn(ctx, stream, handler, jsonrpc2.SetLogger(debugLogger{h.log}))
}

// session limits the concurrent handlers of one accepted connection.
type session struct {
	hub                     *Hub
	requests, notifications chan struct{}
}

// Handle implements jsonrpc2.Handler. It is called for one message at a time; the
// next one is not read until it returns.
func (s *session) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Notif {
		// The sender may close the connection at once, which must not cancel the
		// handler of a notification that has arrived.
		s.notifications <- struct{}{}
		s.start(context.WithoutCancel(ctx), c, r, s.notifications)
		return
	}
	limit := s.hub.limits[r.Method]
	if !tryAcquire(limit) {
		s.refuse(ctx, c, r)
		return
	}
	if !tryAcquire(s.requests) {
		release(limit)
		s.refuse(ctx, c, r)
		return
	}
	s.start(ctx, c, r, s.requests, limit)
}

func (s *session) refuse(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	s.hub.metrics.refusals.WithLabelValues("busy").Inc()
	_ = c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: codeBusy, Message: ErrBusy.Error()})
}

// tryAcquire takes a slot if one is free and returns whether it did; nil slots are
// unlimited.
func tryAcquire(slots chan struct{}) bool {
	if slots == nil {
		return true
	}
	select {
	case slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// release frees a slot.
func release(slots chan struct{}) {
	if slots != nil {
		<-slots
	}
}

// start runs the handler of a message in the background and then releases the slots
// acquired for it.
func (s *session) start(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request, acquired ...chan struct{}) {
	s.hub.inFlight.Add(1)
	go func() {
		defer s.hub.inFlight.Add(-1)
		defer func() {
			for _, slots := range acquired {
				release(slots)
			}
		}()
		jsonrpc2.HandlerWithError(s.hub.dispatch).SuppressErrClosed().Handle(ctx, c, r)
	}()
}

func (h *Hub) dispatch(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	f, ok := h.handlers[r.Method]
	if !ok {
		h.metrics.refusals.WithLabelValues("method").Inc()
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
	h.metrics.messages.WithLabelValues("in", r.Method).Inc()
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	return f(ctx, params)
}
