package acceptor

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/telemetry"
)

// Values of the result label of acceptor_commits_total.
const (
	resultOK          = "ok"
	resultConflict    = "conflict"
	resultUncertain   = "uncertain"
	resultUnavailable = "unavailable"
)

type metrics struct {
	accepted prometheus.Counter
	refused  *prometheus.CounterVec
	commits  *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := telemetry.NewMetricFactory(reg, "settings")
	return &metrics{
		accepted: f.Counter("accepted_documents_total", "Documents that this node accepted."),
		refused: f.CounterVec("refused_documents_total",
			"Faults for which this node refused a document, by reason.", "reason"),
		commits: f.CounterVec("acceptor_commits_total",
			"Transactions of the acceptor, by result.", "result"),
	}
}
