package follower

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/knapweedgw/knapweedgw/telemetry"
)

type metrics struct {
	served        prometheus.Gauge
	held          prometheus.Gauge
	unconfirmed   prometheus.Counter
	undecodable   prometheus.Counter
	stale         *prometheus.CounterVec
	gaps          *prometheus.CounterVec
	watchRestarts *prometheus.CounterVec
	announcements *prometheus.CounterVec
	pulls         *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	const subsystem = "settings"
	f := promauto.With(reg)
	gauge := func(name, help string) prometheus.Gauge {
		return f.NewGauge(prometheus.GaugeOpts{Namespace: telemetry.Namespace, Subsystem: subsystem, Name: name, Help: help})
	}
	counter := func(name, help string, label ...string) *prometheus.CounterVec {
		return f.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: subsystem, Name: name, Help: help,
		}, label)
	}
	return &metrics{
		served:        gauge("revision", "Revision of the settings in force on this node."),
		held:          gauge("held_revision", "Revision through which this node holds the settings."),
		unconfirmed:   counter("unconfirmed_total", "Revisions served before another node was known to hold them.").WithLabelValues(),
		undecodable:   counter("undecodable_records_total", "Accepted documents that this version can't read.").WithLabelValues(),
		stale:         counter("stale_records_total", "Records dropped because a newer one was held, by source.", "source"),
		gaps:          counter("gaps_total", "Deltas that showed that changes were missed, by source.", "source"),
		watchRestarts: counter("watch_restarts_total", "Watches of a relay that ended, by reason.", "reason"),
		announcements: counter("announcements_total", "New revisions announced to a peer, by result.", "result"),
		pulls:         counter("peer_pulls_total", "Pulls from a peer, by result.", "result"),
	}
}
