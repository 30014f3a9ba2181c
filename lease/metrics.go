package lease

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/telemetry"
)

const subsystem = "lease"

// Metrics counts the store calls and the ended terms of a node's keepers, and reports the duties
// held.
type Metrics struct {
	calls *prometheus.CounterVec
	lost  *prometheus.CounterVec
	held  *prometheus.GaugeVec

	mu      sync.Mutex
	holding map[string]bool
}

// NewMetrics registers the lease metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	f := telemetry.NewMetricFactory(reg, subsystem)
	return &Metrics{
		calls: f.CounterVec("calls_total",
			"Calls to the store for leases, by call and outcome.", "call", "outcome"),
		lost:    f.CounterVec("lost_total", "Terms that ended, by reason.", "reason"),
		held:    f.GaugeVec("held", "1 for each duty that this node holds.", "duty"),
		holding: make(map[string]bool),
	}
}

func (m *Metrics) call(c Call, err error) {
	m.calls.WithLabelValues(c.String(), outcome(err)).Inc()
}

// term records whether a duty is held, and counts the end of a term.
func (m *Metrics) term(duty string, held bool, loss Loss) {
	m.mu.Lock()
	defer m.mu.Unlock()
	was := m.holding[duty]
	if was == held {
		return
	}
	m.holding[duty] = held
	if held {
		m.held.WithLabelValues(duty).Set(1)
		return
	}
	m.held.WithLabelValues(duty).Set(0)
	if loss == LossNone {
		loss = LossLapsed
	}
	m.lost.WithLabelValues(string(loss)).Inc()
}

func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, store.ErrUnavailable):
		return "unavailable"
	case errors.Is(err, store.ErrUncertain):
		return "uncertain"
	case errors.Is(err, store.ErrLeaseNotFound):
		return "not_found"
	}
	return "failed"
}
