package heartbeat

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/telemetry"
)

type metrics struct {
	sent, received prometheus.Counter
	bytes          prometheus.Counter
	relays         *prometheus.CounterVec
	groups         prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := telemetry.NewMetricFactory(reg, "heartbeat")
	return &metrics{
		sent:     f.Counter("sent_total", "reports and sums sent to other nodes"),
		received: f.Counter("received_total", "reports and sums received from other nodes"),
		bytes:    f.Counter("sent_bytes_total", "bytes of reports and sums sent to other nodes, without packet headers"),
		relays:   f.CounterVec("relays_total", "nodes asked for the sum of their group, by reason", "reason"),
		groups:   f.Gauge("groups", "groups into which the nodes are divided"),
	}
}
