// Package telemetry provides the node's JSON-lines logger and its Prometheus
// registry.
package telemetry

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Namespace is the first part of the name of every metric that the node's packages register.
const Namespace = "knapweedgw"

// NewLogger returns a logger that writes one JSON object per line to w, each with the node's ID.
// It returns an error if the level is unknown.
func NewLogger(w io.Writer, level, node string) (*log.Logger, error) {
	lv, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.WithHint(errors.Wrap(err, "log level"), "use debug, info, warn or error")
	}
	l := log.NewWithOptions(w, log.Options{
		Level:           lv,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       log.JSONFormatter,
	})
	return l.With("node", node), nil
}

// NewRegistry returns a Prometheus registry with the process and Go runtime
// collectors.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return r
}
