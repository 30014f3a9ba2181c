package claims

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/telemetry"
)

// Reasons of refusals and of asking another owner, as metric labels.
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
	const subsystem = "claims"
	f := promauto.With(reg)
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return f.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: subsystem, Name: name, Help: help,
		}, labels)
	}
	return &metrics{
		verdicts:  counter("verdicts_total", "Claims asked for, by the state found.", "state"),
		refusals:  counter("refusals_total", "Claims refused as not run, by reason.", "reason"),
		retries:   counter("retries_total", "Calls repeated at another owner or later, by call and reason.", "call", "reason"),
		abandoned: counter("abandoned_total", "Attempts refused whose record may be in the log, so that it must be ended.").WithLabelValues(),
		ends:      counter("ends_total", "Outcomes of attempts, by what became of them.", "result"),
		pending: f.NewGauge(prometheus.GaugeOpts{
			Namespace: telemetry.Namespace, Subsystem: subsystem, Name: "ends_pending",
			Help: "Outcomes that are not yet recorded.",
		}),
		answers:   counter("answers_total", "Answers looked up for repeated keys, by where they were found.", "found"),
		handed:    counter("answers_handed_total", "Kept answers to hand over when this node stops, by result.", "result"),
		inherited: counter("answers_inherited_total", "Answers offered by nodes that stop, by result.", "result"),
		evicted:   counter("answers_evicted_total", "Kept answers dropped early for want of room, by origin.", "origin"),
		seconds: f.NewHistogram(prometheus.HistogramOpts{
			Namespace: telemetry.Namespace, Subsystem: subsystem, Name: "claim_seconds",
			Help:    "Time to the verdict or refusal of a claim.",
			Buckets: []float64{.005, .01, .025, .05, .1, .15, .2, .25, .5, 1, 2},
		}),
		store:  counter("store_calls_total", "Calls to the platform's store as an owner, by call.", "call"),
		events: counter("owner_events_total", "Events as an owner of shards, by event.", "event"),
		keys: f.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: telemetry.Namespace, Subsystem: subsystem, Name: "owned_keys",
			Help: "Keys held in memory as an owner, by shard.",
		}, []string{"shard"}),
	}
}

// addCounts adds what a shard counted since the last call.
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
