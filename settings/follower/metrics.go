package follower

import (
	"github.com/prometheus/client_golang/prometheus"

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
	f := telemetry.NewMetricFactory(reg, "settings")
	return &metrics{
		served:        f.Gauge("revision", "Revision of the settings in force on this node."),
		held:          f.Gauge("held_revision", "Revision through which this node holds the settings."),
		unconfirmed:   f.CounterVec("unconfirmed_total", "Revisions served before another node was known to hold them.").WithLabelValues(),
		undecodable:   f.CounterVec("undecodable_records_total", "Accepted documents that this version can't read.").WithLabelValues(),
		stale:         f.CounterVec("stale_records_total", "Records dropped because a newer one was held, by source.", "source"),
		gaps:          f.CounterVec("gaps_total", "Deltas that showed that changes were missed, by source.", "source"),
		watchRestarts: f.CounterVec("watch_restarts_total", "Watches of a relay that ended, by reason.", "reason"),
		announcements: f.CounterVec("announcements_total", "New revisions announced to a peer, by result.", "result"),
		pulls:         f.CounterVec("peer_pulls_total", "Pulls from a peer, by result.", "result"),
	}
}
