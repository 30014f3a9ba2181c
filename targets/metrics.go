package targets

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/telemetry"
)

// Values of the label source: where a leaving report came from.
const (
	sourceList   = "list"
	sourceAnswer = "answer"
	sourcePeer   = "peer"
)

type metrics struct {
	reads   *prometheus.CounterVec
	reports *prometheus.CounterVec
	version prometheus.Gauge
	count   *prometheus.GaugeVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := telemetry.NewMetricFactory(reg, "targets")
	return &metrics{
		reads: f.CounterVec("list_reads_total",
			"Reads of the VM list, by result: new, same, stale (older than known) or failed.", "result"),
		reports: f.CounterVec("leaving_words_total",
			"Targets first heard to be leaving, by source: list, answer or peer.", "source"),
		version: f.Gauge("list_version", "Version of the VM list in force."),
		count: f.GaugeVec("known",
			"Targets in the snapshot, by state: live, or leaving (which includes those held down).", "state"),
	}
}

// observe sets the gauge of known targets from a snapshot.
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
