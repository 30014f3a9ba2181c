package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// MetricFactory creates and registers the metrics of one subsystem. Like promauto it panics if a
// name is already registered, which is a programming error.
type MetricFactory struct {
	factory   promauto.Factory
	subsystem string
}

// NewMetricFactory returns the MetricFactory of a subsystem. The names of its metrics consist
// of Namespace, subsystem and their own name; an empty subsystem is left out.
func NewMetricFactory(reg prometheus.Registerer, subsystem string) MetricFactory {
	return MetricFactory{promauto.With(reg), subsystem}
}

// Counter creates a counter.
func (m MetricFactory) Counter(name, help string) prometheus.Counter {
	return m.factory.NewCounter(prometheus.CounterOpts(m.opts(name, help)))
}

// CounterVec creates a counter vector with the given labels.
func (m MetricFactory) CounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return m.factory.NewCounterVec(prometheus.CounterOpts(m.opts(name, help)), labels)
}

// CounterFunc creates a counter whose value is returned by f.
func (m MetricFactory) CounterFunc(name, help string, f func() float64) {
	m.factory.NewCounterFunc(prometheus.CounterOpts(m.opts(name, help)), f)
}

// Gauge creates a gauge.
func (m MetricFactory) Gauge(name, help string) prometheus.Gauge {
	return m.factory.NewGauge(prometheus.GaugeOpts(m.opts(name, help)))
}

// GaugeVec creates a gauge vector with the given labels.
func (m MetricFactory) GaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return m.factory.NewGaugeVec(prometheus.GaugeOpts(m.opts(name, help)), labels)
}

// GaugeFunc creates a gauge whose value is returned by f.
func (m MetricFactory) GaugeFunc(name, help string, f func() float64) {
	m.factory.NewGaugeFunc(prometheus.GaugeOpts(m.opts(name, help)), f)
}

// Histogram creates a histogram whose buckets have the given upper bounds.
func (m MetricFactory) Histogram(name, help string, bounds []float64) prometheus.Histogram {
	return m.factory.NewHistogram(m.histogramOpts(name, help, bounds))
}

// HistogramVec creates a histogram vector with the given labels, whose buckets have the given upper
// bounds.
func (m MetricFactory) HistogramVec(name, help string, bounds []float64, labels ...string) *prometheus.HistogramVec {
	return m.factory.NewHistogramVec(m.histogramOpts(name, help, bounds), labels)
}

func (m MetricFactory) opts(name, help string) prometheus.Opts {
	return prometheus.Opts{Namespace: Namespace, Subsystem: m.subsystem, Name: name, Help: help}
}

func (m MetricFactory) histogramOpts(name, help string, bounds []float64) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{
		Namespace: Namespace, Subsystem: m.subsystem, Name: name, Help: help, Buckets: bounds,
	}
}
