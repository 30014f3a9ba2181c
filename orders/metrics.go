package orders

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/telemetry"
)

const subsystem = "orders"

// Metrics holds the metrics of a node's issuers.
type Metrics struct {
	sent    *prometheus.CounterVec
	reads   *prometheus.CounterVec
	waits   *prometheus.CounterVec
	retries *prometheus.CounterVec
	records *prometheus.CounterVec
	skipped *prometheus.CounterVec
	engines *prometheus.GaugeVec
}

// NewMetrics registers the metrics of orders.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	f := telemetry.NewMetricFactory(reg, subsystem)
	return &Metrics{
		sent:    f.CounterVec("sent_total", "Orders to engines, by outcome.", "outcome"),
		reads:   f.CounterVec("reads_total", "Reads of engines' states, by outcome.", "outcome"),
		waits:   f.CounterVec("waits_total", "Times an issuer began to wait with orders, by reason.", "reason"),
		retries: f.CounterVec("retries_total", "Orders to be repeated, by reason.", "reason"),
		records: f.CounterVec("records_total", "Reads and writes of records in the store, by call and outcome.", "call", "outcome"),
		skipped: f.CounterVec("pools_skipped_total", "Pools left without an issuer, by reason.", "reason"),
		engines: f.GaugeVec("engines",
			"Engines of the pools that this node issues orders to, by state.", "pool", "state"),
	}
}

func (m *Metrics) setProgress(pool string, p Progress) {
	for state, n := range map[string]int{
		"done": p.Done, "loading": p.Loading, "wrong": p.Wrong, "failed": p.Failed, "unknown": p.Unknown,
	} {
		m.engines.WithLabelValues(pool, state).Set(float64(n))
	}
}

func (m *Metrics) deletePool(pool string) {
	m.engines.DeletePartialMatch(prometheus.Labels{"pool": pool})
}

// outcome returns the outcome label for an error of an EngineClient.
func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrStaleFence):
		return "stale_fence"
	case errors.Is(err, ErrIncarnation):
		return "incarnation"
	case errors.Is(err, ErrRefused):
		return "refused"
	case errors.Is(err, ErrNotSent):
		return "not_sent"
	case errors.Is(err, ErrUncertain):
		return "uncertain"
	}
	return "failed"
}

// storeOutcome returns the outcome label for the result of a store call.
func storeOutcome(ok bool, err error) string {
	switch {
	case errors.Is(err, store.ErrUncertain):
		return "uncertain"
	case err != nil:
		return "unavailable"
	case !ok:
		return "conflict"
	}
	return "ok"
}
