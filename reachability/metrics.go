package reachability

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/telemetry"
	"github.com/knapweedgw/knapweedgw/tunnel"
)

type metrics struct {
	asked       *prometheus.CounterVec
	changes     *prometheus.CounterVec
	partitioned prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := telemetry.NewMetricFactory(reg, "reachability")
	return &metrics{
		asked:       f.CounterVec("asked_total", "Connections to targets that other nodes were asked for, by outcome.", "outcome"),
		changes:     f.CounterVec("changes_total", "Network paths to targets that were lost or restored, by change.", "change"),
		partitioned: f.Gauge("partitioned", "1 while this node has lost its paths to all targets, else 0."),
	}
}

// String returns the label value of the change.
func (c Change) String() string {
	return [...]string{"unchanged", "path_lost", "path_restored", "partitioned", "rejoined"}[c]
}

// outcome returns the label value of the outcome of asking a node.
func outcome(err error) string {
	for _, o := range []struct {
		err   error
		label string
	}{
		{tunnel.ErrRefused, "refused"}, {tunnel.ErrTimeout, "timeout"}, {tunnel.ErrNoPath, "no_path"},
		{tunnel.ErrBusy, "busy"}, {tunnel.ErrUnknownTarget, "unknown_target"},
	} {
		if errors.Is(err, o.err) {
			return o.label
		}
	}
	if err != nil {
		return "unavailable"
	}
	return "opened"
}
