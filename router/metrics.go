package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/intake"
	"github.com/knapweedgw/knapweedgw/notice"
	"github.com/knapweedgw/knapweedgw/placement"
	"github.com/knapweedgw/knapweedgw/telemetry"
)

// latencyBuckets are in seconds, from a round trip within a zone to the longest usual deadline.
var latencyBuckets = []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8, 16}

type metrics struct {
	answers  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	cuts     *prometheus.CounterVec
	// budget counts decisions on the retry budget, budgetLeft is what the last one left.
	budget     *prometheus.CounterVec
	budgetLeft *prometheus.GaugeVec
	// unframed counts answers that only the end of their connection delimits.
	unframed *prometheus.CounterVec
	// unanswered counts requests whose connection ended before a byte of the answer was
	// delivered.
	unanswered *prometheus.CounterVec
	// overdue counts attempts whose target sent nothing for too long.
	overdue *prometheus.CounterVec
	// notices counts targets' notices that contained something new.
	notices *prometheus.CounterVec
	// partTokens counts the tokens of shared parts that the chosen target lacked.
	partTokens *prometheus.CounterVec
	firstByte  *prometheus.HistogramVec
	answerTime *prometheus.HistogramVec
	inFlight   prometheus.Gauge
	// intake counts callers' connections that the node ended.
	intake *intake.Metrics
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := telemetry.NewMetricFactory(reg, "router")
	histogram := func(name, help string) *prometheus.HistogramVec {
		return f.HistogramVec(name, help, latencyBuckets, "service")
	}
	return &metrics{
		answers:  f.CounterVec("answers_total", "Answers of targets relayed whole, by service and class of status.", "service", "status"),
		refusals: f.CounterVec("refusals_total", "Requests that this node refused or gave up, by reason.", "reason"),
		retries:  f.CounterVec("retries_total", "Requests sent to another target, by the reason.", "reason"),
		budget: f.CounterVec("retry_budget_total",
			"Retries that the retry budget of a service granted or refused, by outcome.", "service", "outcome"),
		budgetLeft: f.GaugeVec("retry_budget_left",
			"Retries that this node's part of a service's budget held after the last decision.", "service"),
		cuts: f.CounterVec("cuts_total", "Answers that were cut off after they had begun, by the reason.", "reason"),
		unframed: f.CounterVec("unframed_answers_total",
			"Answers with neither a length nor chunks, by the reason why they count as complete or truncated.", "reason"),
		unanswered: f.CounterVec("unanswered_total",
			"Requests whose connection was closed with no byte of an answer, by the cause.", "cause"),
		overdue: f.CounterVec("overdue_total",
			"Times that an attempt which may go elsewhere was overdue, by whether it went and why not.", "outcome"),
		notices: f.CounterVec("notices_total",
			notice.Help, notice.Label),
		partTokens: f.CounterVec("part_tokens_total",
			"Tokens of shared parts that the chosen target lacked, by how it got them and by the reason of the choice.", "how", "reason"),
		firstByte:  histogram("first_byte_seconds", "Time from a request to the header of its answer."),
		answerTime: histogram("answer_seconds", "Time from a request to the end of its answer."),
		inFlight:   f.Gauge("in_flight", "Callers' requests in progress."),
		intake:     intake.NewMetrics(f),
	}
}

// countPartTokens counts the shared tokens that the chosen target lacks: those that it fetches
// from another target and those that it reads from the prompt.
func (m *metrics) countPartTokens(c placement.Choice, shared int) {
	if read := shared - c.CachedTokens - c.Fetched; read > 0 {
		m.partTokens.WithLabelValues("read", string(c.Reason)).Add(float64(read))
	}
	if c.Fetched > 0 {
		m.partTokens.WithLabelValues("fetched", string(c.Reason)).Add(float64(c.Fetched))
	}
}

func statusClass(status int) string {
	const hundred = 100
	return string(rune('0'+status/hundred)) + "xx"
}

func since(start, now time.Time) float64 { return now.Sub(start).Seconds() }
