package peer

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
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
	f := telemetry.NewMetricFactory(reg, "peer")
	return &metrics{
		bytes: f.CounterVec("bytes_total",
			"Bytes exchanged with other nodes, framing included.", "direction"),
		messages: f.CounterVec("messages_total",
			"Calls and notifications sent to and received from other nodes, by method.", "direction", "method"),
		dials:       f.CounterVec("dials_total", "Connections tried, by result.", "result"),
		refusals:    f.CounterVec("refusals_total", "Connections and messages of other nodes refused, by reason.", "reason"),
		failures:    f.CounterVec("failures_total", "Calls and notifications that failed, by reason.", "reason"),
		connections: f.Gauge("inbound_connections", "Connections accepted from other nodes."),
	}
}

// failureReason returns the label reason of a failed call or notification.
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
