package admission

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/admission/wire"
	"github.com/knapweedgw/knapweedgw/telemetry"
)

const subsystem = "admission"

// Outcomes of an Acquire.
const (
	outcomeOwner    = "owner"    // granted by the cell's owner
	outcomeSelf     = "self"     // granted by this node, which owns the cell
	outcomeFallback = "fallback" // placed by the local estimate
	outcomeRefused  = "refused"
	outcomeFull     = "full" // refused by the local estimate
	outcomeNoTarget = "no_target"
	outcomeCanceled = "canceled"
)

// Reasons for asking once more.
const (
	redirectFull   = "full"   // another cell
	redirectOwner  = "owner"  // another owner of the cell
	redirectTarget = "target" // the same owner, for another target than one that is leaving
)

// Reasons for using the local estimate.
const (
	reasonTimeout     = "timeout"
	reasonUnreachable = "unreachable"
	reasonBreaker     = "breaker_open"
	reasonFailed      = "failed"
	reasonNoOwner     = "no_owner"
	reasonNotOwner    = "not_owner"
	reasonRecovering  = "recovering"
	reasonStale       = "stale"
	reasonAllFull     = "all_full"
)

type metrics struct {
	requests  *prometheus.CounterVec
	fallbacks *prometheus.CounterVec
	redirects *prometheus.CounterVec
	givenUp   prometheus.Counter
	resyncs   *prometheus.CounterVec
	takeovers prometheus.Counter
	// suspensions counts the suspensions of targets in owned cells.
	suspensions prometheus.Counter
	roundTrip   prometheus.Histogram
	bytes       wire.Bytes
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := telemetry.NewMetricFactory(reg, subsystem)
	return &metrics{
		requests:  f.CounterVec("requests_total", "Places asked for, by outcome.", "outcome"),
		fallbacks: f.CounterVec("fallbacks_total", "Places decided by the local estimate, by reason.", "reason"),
		redirects: f.CounterVec("redirects_total", "Further owners asked, by reason.", "reason"),
		givenUp: f.Counter("asks_given_up_total",
			"Asks without an answer in time; a late grant is released."),
		resyncs:   f.CounterVec("resyncs_total", "Accounts of places sent to owners, by cause and result.", "cause", "result"),
		takeovers: f.Counter("takeovers_total", "Cells that this node became the owner of."),
		suspensions: f.Counter("suspensions_total",
			"Pauses of targets of owned cells that failed several requests in a row."),
		roundTrip: f.Histogram("owner_round_trip_seconds", "Time until another node that owns a cell answered.",
			prometheus.ExponentialBuckets(0.0001, 1.6, 18)),
		bytes: wire.Bytes{CounterVec: f.CounterVec("bytes_total", "Parameters and results exchanged with other nodes, by method.", "direction", "method")},
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
	gauge("targets_suspended", "Targets of owned cells that get no requests but trials.", s.owned.suspended)
	gauge("places_owned", "Places known on the targets of owned cells.", s.owned.places)
}
