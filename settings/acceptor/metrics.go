package acceptor

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/knapweedgw/knapweedgw/telemetry"
)

// Results of a commit.
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
	const subsystem = "settings"
	f := promauto.With(reg)
	return &metrics{
		accepted: f.NewCounter(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: subsystem, Name: "accepted_documents_total",
			Help: "Documents that this node accepted.",
		}),
		refused: f.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: subsystem, Name: "refused_documents_total",
			Help: "Faults for which this node refused a document, by reason.",
		}, []string{"reason"}),
		commits: f.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: subsystem, Name: "acceptor_commits_total",
			Help: "Transactions of the acceptor, by result.",
		}, []string{"result"}),
	}
}
