package peer

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/knapweedgw/knapweedgw/telemetry"
)

type metrics struct {
	bytes       *prometheus.CounterVec
	messages    *prometheus.CounterVec
	dials       *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	failures    *prometheus.CounterVec
	connections prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return f.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "peer", Name: name, Help: help,
		}, labels)
	}
	return &metrics{
		bytes: counter("bytes_total",
			"Bytes exchanged with other nodes, framing included.", "direction"),
		messages: counter("messages_total",
			"Calls and notifications sent to and received from other nodes, by method.", "direction", "method"),
		dials:    counter("dials_total", "Connections tried, by result.", "result"),
		refusals: counter("refusals_total", "Connections and messages of other nodes refused, by reason.", "reason"),
		failures: counter("failures_total", "Calls and notifications that failed, by reason.", "reason"),
		connections: f.NewGauge(prometheus.GaugeOpts{
			Namespace: telemetry.Namespace, Subsystem: "peer", Name: "inbound_connections",
			Help: "Connections accepted from other nodes.",
		}),
	}
}

// failureReason is the label of a failed call.
func failureReason(err error) string {
	var remote *jsonrpc2.Error
	switch {
	case errors.Is(err, errBackoff):
		return "backoff"
	case errors.Is(err, ErrUnreachable):
		return "unreachable"
	case errors.Is(err, ErrBusy):
		return "busy"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "canceled"
	case errors.Is(err, errTooLarge):
		return "too_large"
	case errors.As(err, &remote):
		return "remote"
	default:
		return "connection"
	}
}
