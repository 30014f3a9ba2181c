package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/telemetry"
)

type metrics struct {
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	inFlight prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	m := &metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Name: "requests_total",
			Help: "Requests answered, by kind and outcome.",
		}, []string{"kind", "outcome"}),
		refusals: f.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Name: "refusals_total",
			Help: "Requests refused, by reason.",
		}, []string{"reason"}),
		retries: f.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Name: "retries_total",
			Help: "Attempts repeated on another target, by reason.",
		}, []string{"reason"}),
		inFlight: f.NewGauge(prometheus.GaugeOpts{
			Namespace: telemetry.Namespace, Name: "requests_in_flight",
			Help: "Requests in progress.",
		}),
	}
	for _, r := range problem.Reasons() {
		m.refusals.WithLabelValues(string(r))
	}
	return m
}
