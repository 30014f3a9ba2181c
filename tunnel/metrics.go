package tunnel

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/telemetry"
)

type metrics struct {
	opened  *prometheus.CounterVec
	bytes   *prometheus.CounterVec
	carried prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := telemetry.NewMetricFactory(reg, "tunnel")
	return &metrics{
		opened:  f.CounterVec("requests_total", "Connections to targets that other nodes asked for, by outcome.", "outcome"),
		bytes:   f.CounterVec("bytes_total", "Bytes carried for other nodes, by direction.", "direction"),
		carried: f.Gauge("carried", "Connections to targets that this node carries for others."),
	}
}
