package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/telemetry"
)

// Label values of requests_total and stream_resumes_total.
const (
	kindUnknown     = "unknown"
	kindChat        = "chat"
	kindService     = "service"
	kindModels      = "models"
	outcomeAnswered = "answered"
	outcomeRefused  = "refused"
	outcomeAborted  = "aborted"
	resumedByNode   = "node"
	resumedByCaller = "caller"
	resumeFailed    = "failed"
)

type metrics struct {
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	resumes  *prometheus.CounterVec
	cancels  prometheus.Counter
	replays  prometheus.Counter
	panics   prometheus.Counter
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
		resumes: f.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Name: "stream_resumes_total",
			Help: "Cut streams resumed at their engine: by the node, by a caller that reconnected, or in vain.",
		}, []string{"by"}),
		cancels: f.NewCounter(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Name: "streams_canceled_total",
			Help: "Generations canceled because their caller went away.",
		}),
		replays: f.NewCounter(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Name: "replayed_answers_total",
			Help: "Kept answers given again for a repeated Idempotency-Key.",
		}),
		panics: f.NewCounter(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Name: "panics_total",
			Help: "Requests whose handling panicked.",
		}),
		inFlight: f.NewGauge(prometheus.GaugeOpts{
			Namespace: telemetry.Namespace, Name: "requests_in_flight",
			Help: "Requests in progress.",
		}),
	}
	for _, r := range problem.Reasons() {
		m.refusals.WithLabelValues(string(r))
	}
	for _, r := range []problem.Reason{problem.TargetFailed, problem.TargetRefused} {
		m.retries.WithLabelValues(string(r))
	}
	for _, by := range []string{resumedByNode, resumedByCaller, resumeFailed} {
		m.resumes.WithLabelValues(by)
	}
	return m
}
