package targets

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/knapweedgw/knapweedgw/telemetry"
)

// The sources of words.
const (
	sourceList   = "list"
	sourceAnswer = "answer"
	sourcePeer   = "peer"
)

type metrics struct {
	reads   *prometheus.CounterVec
	words   *prometheus.CounterVec
	version prometheus.Gauge
	count   *prometheus.GaugeVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	const subsystem = "targets"
	return &metrics{
		reads: f.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: subsystem, Name: "list_reads_total",
			Help: "Reads of the VM list, by result: new, same, stale (older than known) or failed.",
		}, []string{"result"}),
		words: f.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: subsystem, Name: "leaving_words_total",
			Help: "Targets first heard to be leaving, by source: list, answer or peer.",
		}, []string{"source"}),
		version: f.NewGauge(prometheus.GaugeOpts{
			Namespace: telemetry.Namespace, Subsystem: subsystem, Name: "list_version",
			Help: "Version of the VM list in force.",
		}),
		count: f.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: telemetry.Namespace, Subsystem: subsystem, Name: "known",
			Help: "Targets in the snapshot, by state: live, or leaving (which includes those held down).",
		}, []string{"state"}),
	}
}

func (m *metrics) observe(s *Snapshot) {
	live, leaving := 0, 0
	for _, pool := range s.Pools {
		for _, t := range pool {
			if t.Leaving {
				leaving++
			} else {
				live++
			}
		}
	}
	m.count.WithLabelValues("live").Set(float64(live))
	m.count.WithLabelValues("leaving").Set(float64(leaving))
}
