package resumption

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/telemetry"
)

type metrics struct {
	decisions *prometheus.CounterVec
	lookups   *prometheus.CounterVec
	received  prometheus.Counter
	records   prometheus.Gauge
	sharing   prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := telemetry.NewMetricFactory(reg, "resumption")
	return &metrics{
		decisions: f.CounterVec("decisions_total",
			"Streams that callers took up, by where their version was learnt.", "source"),
		lookups:  f.CounterVec("lookups_total", "Other nodes asked for the version of a stream, by their answer.", "result"),
		received: f.Counter("records_received_total", "Records of streams received with reports of other nodes."),
		records:  f.Gauge("records", "Streams whose version this node has recorded."),
		sharing:  f.Gauge("sharing", "1 while this node sends its records of streams to other nodes."),
	}
}

func (m *metrics) setSharing(sharing bool) {
	if sharing {
		m.sharing.Set(1)
		return
	}
	m.sharing.Set(0)
}
