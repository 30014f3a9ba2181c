package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Meters creates and registers the metrics of one subsystem. Like promauto it panics if a name is
// already registered, which is a programming error.
type Meters struct {
	factory   promauto.Factory
	subsystem string
}

// NewMeters returns the Meters of a subsystem. The names of its metrics consist of Namespace,
// subsystem and their own name; an empty subsystem is left out.
func NewMeters(reg prometheus.Registerer, subsystem string) Meters {
	return Meters{promauto.With(reg), subsystem}
}

// Counter creates a counter.
func (m Meters) Counter(name, help string) prometheus.Counter {
	return m.factory.NewCounter(prometheus.CounterOpts(m.opts(name, help)))
}

// Counters creates a counter vector with the given labels.
func (m Meters) Counters(name, help string, labels ...string) *prometheus.CounterVec {
	return m.factory.NewCounterVec(prometheus.CounterOpts(m.opts(name, help)), labels)
}

// CounterFunc creates a counter whose value is returned by f.
func (m Meters) CounterFunc(name, help string, f func() float64) {
	m.factory.NewCounterFunc(prometheus.CounterOpts(m.opts(name, help)), f)
}

// Gauge creates a gauge.
func (m Meters) Gauge(name, help string) prometheus.Gauge {
	return m.factory.NewGauge(prometheus.GaugeOpts(m.opts(name, help)))
}

// Gauges creates a gauge vector with the given labels.
func (m Meters) Gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return m.factory.NewGaugeVec(prometheus.GaugeOpts(m.opts(name, help)), labels)
}

// GaugeFunc creates a gauge whose value is returned by f.
func (m Meters) GaugeFunc(name, help string, f func() float64) {
	m.factory.NewGaugeFunc(prometheus.GaugeOpts(m.opts(name, help)), f)
}

// Histogram creates a histogram whose buckets have the given upper bounds.
func (m Meters) Histogram(name, help string, bounds []float64) prometheus.Histogram {
	return m.factory.NewHistogram(m.histogramOpts(name, help, bounds))
}

// Histograms creates a histogram vector with the given labels, whose buckets have the given upper
// bounds.
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
