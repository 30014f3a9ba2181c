package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Meters makes and registers the metrics of one part of the program. Like
// promauto it panics if a name is taken, which is a fault of the program.
type Meters struct {
	factory   promauto.Factory
	subsystem string
}

// NewMeters returns the meters of a subsystem, whose name follows the Namespace
// in those of its metrics; empty for none.
func NewMeters(reg prometheus.Registerer, subsystem string) Meters {
	return Meters{promauto.With(reg), subsystem}
}

// Counter makes a counter.
func (m Meters) Counter(name, help string) prometheus.Counter {
	return m.factory.NewCounter(prometheus.CounterOpts(m.opts(name, help)))
}

// Counters makes a counter for each set of values of the labels.
func (m Meters) Counters(name, help string, labels ...string) *prometheus.CounterVec {
	return m.factory.NewCounterVec(prometheus.CounterOpts(m.opts(name, help)), labels)
}

// CounterFunc makes a counter that is read by f.
func (m Meters) CounterFunc(name, help string, f func() float64) {
	m.factory.NewCounterFunc(prometheus.CounterOpts(m.opts(name, help)), f)
}

// Gauge makes a gauge.
func (m Meters) Gauge(name, help string) prometheus.Gauge {
	return m.factory.NewGauge(prometheus.GaugeOpts(m.opts(name, help)))
}

// Gauges makes a gauge for each set of values of the labels.
func (m Meters) Gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return m.factory.NewGaugeVec(prometheus.GaugeOpts(m.opts(name, help)), labels)
}

// GaugeFunc makes a gauge that is read by f.
func (m Meters) GaugeFunc(name, help string, f func() float64) {
	m.factory.NewGaugeFunc(prometheus.GaugeOpts(m.opts(name, help)), f)
}

// Histogram makes a histogram with buckets up to the given bounds.
func (m Meters) Histogram(name, help string, bounds []float64) prometheus.Histogram {
	return m.factory.NewHistogram(m.histogramOpts(name, help, bounds))
}

// Histograms makes a histogram for each set of values of the labels.
func (m Meters) Histograms(name, help string, bounds []float64, labels ...string) *prometheus.HistogramVec {
	return m.factory.NewHistogramVec(m.histogramOpts(name, help, bounds), labels)
}

func (m Meters) opts(name, help string) prometheus.Opts {
	return prometheus.Opts{Namespace: Namespace, Subsystem: m.subsystem, Name: name, Help: help}
}

func (m Meters) histogramOpts(name, help string, bounds []float64) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{
		Namespace: Namespace, Subsystem: m.subsystem, Name: name, Help: help, Buckets: bounds,
	}
}
