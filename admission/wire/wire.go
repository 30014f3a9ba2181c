// Package wire has what the services that grant places share between nodes: messages as JSON with
// counted bytes, and the queue of ended places.
package wire

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/peer"
)

// Caller calls methods of other nodes; see package peer.
type Caller interface {
	Call(ctx context.Context, addr, method string, params, result any) error
	Notify(ctx context.Context, addr, method string, params any) error
}

// Bytes counts parameters and results by the labels direction ("in" or "out") and method.
type Bytes struct{ *prometheus.CounterVec }

func (b Bytes) of(direction, method string) prometheus.Counter {
	return b.WithLabelValues(direction, method)
}

// Handler returns a peer.Handler that decodes a call for f and encodes its result.
func Handler[M, R any](b Bytes, method string, f func(context.Context, M) (R, error)) peer.Handler {
	return HandlerWith(b, method, decode[M], f)
}

func decode[M any](raw []byte) (m M, err error) {
	err = json.Unmarshal(raw, &m)
	return m, err
}

// HandlerWith is a Handler with its own decoder of messages.
func HandlerWith[M, R any](b Bytes, method string, decode func([]byte) (M, error), f func(context.Context, M) (R, error)) peer.Handler {
	in, out := b.of("in", method), b.of("out", method)
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		in.Add(float64(len(params)))
		m, err := decode(params)
		if err != nil {
			return nil, errors.Wrap(err, method)
		}
		r, err := f(ctx, m)
		if err != nil {
			return nil, errors.Wrap(err, method)
		}
		raw, err := json.Marshal(r)
		out.Add(float64(len(raw)))
		return json.RawMessage(raw), err
	}
}

// Notice returns a peer.Handler that decodes a notification for f.
func Notice[M any](b Bytes, method string, f func(M) error) peer.Handler {
	in := b.of("in", method)
	return func(_ context.Context, params json.RawMessage) (any, error) {
		in.Add(float64(len(params)))
		m, err := decode[M](params)
		if err != nil {
			return nil, errors.Wrap(err, method)
		}
		return nil, f(m)
	}
}

// Call calls a method of the node at addr.
func Call(ctx context.Context, c Caller, b Bytes, addr, method string, params, result any) error {
	raw, err := encode(b, method, params)
	if err != nil {
		return err
	}
	var answer json.RawMessage
	if err := c.Call(ctx, addr, method, raw, &answer); err != nil {
		return err
	}
	b.of("in", method).Add(float64(len(answer)))
	return json.Unmarshal(answer, result)
}

// Notify sends a notification to the node at addr.
func Notify(ctx context.Context, c Caller, b Bytes, addr, method string, params any) error {
	raw, err := encode(b, method, params)
	if err != nil {
		return err
	}
	return c.Notify(ctx, addr, method, raw)
}

func encode(b Bytes, method string, params any) (json.RawMessage, error) {
	raw, err := json.Marshal(params)
	b.of("out", method).Add(float64(len(raw)))
	return raw, err
}
