package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/admission/wire"
	"github.com/knapweedgw/knapweedgw/telemetry"
)

const subsystem = "dispatch"

// Reasons for Unavailable.
const (
	reasonNotDispatched = "not_dispatched"
	reasonNoOwner       = "no_owner"
	reasonNoTarget      = "no_target"
	reasonTimeout       = "timeout"
	reasonUnreachable   = "unreachable"
	reasonBusy          = "busy"
	reasonFailed        = "failed"
	reasonNotOwner      = "not_owner"
	reasonRecovering    = "recovering"
	reasonStale         = "stale"
	reasonGone          = "target_gone"
)

// Causes of a takeover.
const (
	causeOrder     = "order"     // first in the order by this node's view
	causeSuspicion = "suspicion" // all nodes before this one are suspected and silent
	causePause     = "pause"     // the process was paused
)

// String returns the outcome's metric label.
func (o Outcome) String() string {
	switch o {
	case Granted:
		return "granted"
	case Refused:
		return "refused"
	case Unavailable:
		return "unavailable"
	}
	return "canceled"
}

type metrics struct {
	requests   *prometheus.CounterVec
	fallbacks  *prometheus.CounterVec
	asks       *prometheus.CounterVec
	suspicions prometheus.Counter
	roundTrip  prometheus.Histogram
	resyncs    *prometheus.CounterVec
	// The following are of owned cells.
	queueWait   prometheus.Histogram
	grants      prometheus.Counter
	refusals    *prometheus.CounterVec
	takeovers   *prometheus.CounterVec
	suspensions prometheus.Counter
	bytes       wire.Bytes
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := telemetry.NewMetricFactory(reg, subsystem)
	return &metrics{
		requests:   f.CounterVec("requests_total", "Places asked for, by outcome.", "outcome"),
		fallbacks:  f.CounterVec("fallbacks_total", "Requests that the node decided by its own counts, by reason.", "reason"),
		asks:       f.CounterVec("asks_total", "Asks to owners, by outcome; a waiting request asks several times.", "outcome"),
		suspicions: f.Counter("suspicions_total", "Times that an owner was suspected after unanswered calls."),
		roundTrip: f.Histogram("owner_round_trip_seconds", "Time until another node that owns a cell decided a request that didn't wait.",
			prometheus.ExponentialBuckets(0.0001, 1.6, 18)),
		resyncs: f.CounterVec("resyncs_total", "Lists of places sent to owners, by cause and result.", "cause", "result"),
		queueWait: f.Histogram("queue_wait_seconds", "Time that requests waited in the queue of an owned cell.",
			prometheus.ExponentialBuckets(0.001, 1.6, 16)),
		grants:      f.Counter("grants_total", "Places of owned cells that were granted."),
		refusals:    f.CounterVec("refusals_total", "Requests refused by owned cells, by reason.", "reason"),
		takeovers:   f.CounterVec("takeovers_total", "Takeovers of cells that this node began, by cause.", "cause"),
		suspensions: f.Counter("suspensions_total", "Pauses of targets of owned cells that failed several requests in a row."),
		bytes: wire.Bytes{CounterVec: f.CounterVec("bytes_total",
			"Parameters and results exchanged with other nodes, by method.", "direction", "method")},
	}
}

// observeState registers gauges of the service's state.
func observeState(reg prometheus.Registerer, s *Service) {
	f := telemetry.NewMetricFactory(reg, subsystem)
	gauge := func(name, help string, value func() int) {
		f.GaugeFunc(name, help, func() float64 { return float64(value()) })
	}
	gauge("places_held", "Places that this node's requests hold.", s.table.Len)
	gauge("cells_owned", "Cells that this node owns.", s.owned.len)
	gauge("places_owned", "Places known on the targets of owned cells.",
		func() int { return s.owned.sum(func(c *ownedCell) int { return c.record.Places() }) })
	gauge("requests_waiting", "Requests in the queues of owned cells whose call is held now.",
		func() int { return s.owned.sum(func(c *ownedCell) int { return len(c.waiters) }) })
	gauge("targets_suspended", "Targets of owned cells that get no requests but trials.",
		func() int { return s.owned.sum(func(c *ownedCell) int { return c.record.SuspendedTargets() }) })
	gauge("rivals", "Other nodes that claim cells which this node owns.",
		func() int { return s.owned.sum(func(c *ownedCell) int { return c.rivals }) })
}
