package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/intake"
	"github.com/knapweedgw/knapweedgw/notice"
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
	budget   *prometheus.CounterVec
	resumes  *prometheus.CounterVec
	notices  *prometheus.CounterVec
	unframed *prometheus.CounterVec
	cancels  prometheus.Counter
	replays  prometheus.Counter
	panics   prometheus.Counter
	inFlight prometheus.Gauge
	// intake counts callers' connections that the node ended.
	intake *intake.Metrics
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := telemetry.NewMetricFactory(reg, "")
	m := &metrics{
		requests: f.CounterVec("requests_total", "Requests answered, by kind and outcome.", "kind", "outcome"),
		refusals: f.CounterVec("refusals_total", "Requests refused, by reason.", "reason"),
		retries: f.CounterVec("retries_total",
			"Attempts repeated on another target, by reason.", "reason"),
		budget: f.CounterVec("retry_budget_total",
			"Decisions on the retry budget of a pool, by outcome.", "pool", "outcome"),
		resumes: f.CounterVec("stream_resumes_total",
			"Cut streams resumed at their engine: by the node, by a caller that reconnected, or in vain.", "by"),
		notices: f.CounterVec("notices_total",
			notice.Help, notice.Label),
		unframed: f.CounterVec("unframed_responses_total",
			"Responses with neither a length nor chunks, by the reason why they count as complete or truncated.", "reason"),
		cancels: f.Counter("streams_canceled_total",
			"Generations canceled because their caller went away."),
		replays: f.Counter("replayed_answers_total",
			"Kept answers given again for a repeated Idempotency-Key."),
		panics:   f.Counter("panics_total", "Requests whose handling panicked."),
		inFlight: f.Gauge("requests_in_flight", "Requests in progress."),
		intake:   intake.NewMetrics(f),
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
