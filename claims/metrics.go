package claims

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/telemetry"
)

// Reasons of refusals and of retried calls. They are metric label values.
const (
	reasonStore       = "store_unavailable"
	reasonExpired     = "owner_busy"
	reasonClosed      = "attempt_closed"
	reasonLate        = "granted_late"
	reasonNoReply     = "owner_no_reply"
	reasonUnreachable = "owner_unreachable"
	reasonOverloaded  = "owner_overloaded"
	reasonCallerGone  = "caller_gone"
	reasonStopping    = "heir_stopping"
)

// stateNames holds the metric label values of the states.
var stateNames = map[State]string{
	Granted: "granted", InProgress: "in_progress", Done: "done", Unknown: "unknown", Mismatch: "mismatch",
}

type metrics struct {
	verdicts  *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	retries   *prometheus.CounterVec
	abandoned prometheus.Counter
	ends      *prometheus.CounterVec
	pending   prometheus.Gauge
	answers   *prometheus.CounterVec
	handed    *prometheus.CounterVec
	inherited *prometheus.CounterVec
	evicted   *prometheus.CounterVec
	seconds   prometheus.Histogram
	store     *prometheus.CounterVec
	events    *prometheus.CounterVec
	keys      *prometheus.GaugeVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := telemetry.NewMetricFactory(reg, "claims")
	return &metrics{
		verdicts:  f.CounterVec("verdicts_total", "Claims asked for, by the state found.", "state"),
		refusals:  f.CounterVec("refusals_total", "Claims refused as not run, by reason.", "reason"),
		retries:   f.CounterVec("retries_total", "Calls repeated at another owner or later, by call and reason.", "call", "reason"),
		abandoned: f.CounterVec("abandoned_total", "Attempts refused whose record may be in the log, so that it must be ended.").WithLabelValues(),
		ends:      f.CounterVec("ends_total", "Outcomes of attempts, by what became of them.", "result"),
		pending:   f.Gauge("ends_pending", "Outcomes that are not yet recorded."),
		answers:   f.CounterVec("answers_total", "Answers looked up for repeated keys, by where they were found.", "found"),
		handed:    f.CounterVec("answers_handed_total", "Kept answers to hand over when this node stops, by result.", "result"),
		inherited: f.CounterVec("answers_inherited_total", "Answers offered by nodes that stop, by result.", "result"),
		evicted:   f.CounterVec("answers_evicted_total", "Kept answers dropped early for want of room, by origin.", "origin"),
		seconds: f.Histogram("claim_seconds", "Time to the verdict or refusal of a claim.",
			[]float64{.005, .01, .025, .05, .1, .15, .2, .25, .5, 1, 2}),
		store:  f.CounterVec("store_calls_total", "Calls to the platform's store as an owner, by call.", "call"),
		events: f.CounterVec("owner_events_total", "Events as an owner of shards, by event.", "event"),
		keys:   f.GaugeVec("owned_keys", "Keys held in memory as an owner, by shard.", "shard"),
	}
}

// addCounts adds the difference between two counts of a shard to the metrics.
func (m *metrics) addCounts(now, last core.Counts) {
	add := func(v *prometheus.CounterVec, label string, n int) { v.WithLabelValues(label).Add(float64(n)) }
	add(m.store, "commit", now.Commits-last.Commits)
	add(m.store, "read", now.Reads-last.Reads)
	add(m.events, "full_read", now.FullReads-last.FullReads)
	add(m.events, "conflict", now.Conflicts-last.Conflicts)
	add(m.events, "uncertain", now.Uncertain-last.Uncertain)
	add(m.events, "store_failure", now.Failures-last.Failures)
	add(m.events, "record", now.Records-last.Records)
	add(m.events, "trimmed_group", now.TrimmedGroups-last.TrimmedGroups)
}
