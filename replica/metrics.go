package replica

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/telemetry"
)

// Values of the source label of changes_total.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
	sourceGrace = "grace"
)

type metrics struct {
	changes     *prometheus.CounterVec
	audits      *prometheus.CounterVec
	storeErrors prometheus.Counter
	invalid     prometheus.Counter
	// restorations counts the lists of a restored store that have replaced the copy.
	restorations prometheus.Counter
	evacuated    prometheus.Gauge
	// unusable counts the changes of entries that don't describe a usable target.
	unusable *prometheus.CounterVec
	// startReads counts the reads of the store before the first configuration or list.
	startReads *prometheus.CounterVec
	// firstConfiguration counts the first configurations of the process, 0 or 1, by source;
	// startSeconds is how long it was without one.
	firstConfiguration *prometheus.CounterVec
	startSeconds       prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := telemetry.NewMetricFactory(reg, "replica")
	return &metrics{
		changes: f.CounterVec("changes_total", "changes taken into the node's copy", "what", "source"),
		audits:  f.CounterVec("audits_total", "questions for the store's revision, by result", "result"),
		storeErrors: f.Counter("store_errors_total",
			"reads and watches of the store that failed"),
		restorations: f.Counter("store_restorations_total",
			"returns of the store from an older copy that the node has seen"),
		invalid: f.Counter("invalid_values_total",
			"values of the store that could not be read"),
		evacuated: f.Gauge("evacuated_domains", "failure domains that the operator has evacuated"),
		unusable: f.CounterVec("unusable_entries_total",
			"changes of entries that name no target to use, by what is wrong with them", "fault"),
		startReads: f.CounterVec("start_reads_total",
			"reads of the store by a node that has just started, by result", "result"),
		firstConfiguration: f.CounterVec("first_configuration_total",
			"first configurations of the process, by source", "source"),
		startSeconds: f.Gauge("start_seconds", "time between the start and the first configuration"),
	}
}
