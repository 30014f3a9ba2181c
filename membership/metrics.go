package membership

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/telemetry"
)

const subsystem = "membership"

type metrics struct {
	nodes   *prometheus.GaugeVec
	dropped prometheus.Counter
}

func newMetrics(reg prometheus.Registerer, counts func() Counts) *metrics {
	f := telemetry.NewMetricFactory(reg, subsystem)
	counter := func(name, help string, value func(Counts) int64) {
		f.CounterFunc(name, help, func() float64 { return float64(value(counts())) })
	}
	counter("suspicions_total", "Nodes that did not answer this node's probe.",
		func(c Counts) int64 { return c.Suspicions })
	counter("deaths_total", "Suspects that this node declared dead.",
		func(c Counts) int64 { return c.Deaths })
	counter("refutations_total", "Words on this node that it refuted with a newer incarnation.",
		func(c Counts) int64 { return c.Refutations })
	counter("indirect_probes_total", "Probes for which others were asked.",
		func(c Counts) int64 { return c.IndirectProbes })
	counter("reconnects_total", "Probes of nodes held for dead.",
		func(c Counts) int64 { return c.Reconnects })
	return &metrics{
		nodes: f.GaugeVec("nodes", "Nodes in the view, by region and state.", "region", "state"),
		dropped: f.Counter("dropped_total",
			"Messages not sent because too many were being sent."),
	}
}

// observe sets the gauge of nodes from a view.
func (m *metrics) observe(v *View) {
	m.nodes.Reset()
	for _, n := range v.Nodes {
		m.nodes.WithLabelValues(n.Region, n.State.String()).Inc()
	}
}
