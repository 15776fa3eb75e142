// Package metrics holds the metrics of a daemon and writes them as JSON and in the
// Prometheus text format.
package metrics

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Registry holds the metrics of one daemon.
type Registry struct {
	reg gometrics.Registry
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{reg: gometrics.NewRegistry()}
}

// Inc adds 1 to a counter.
func (r *Registry) Inc(name Name) { r.Add(name, 1) }

// Add adds n to a counter.
func (r *Registry) Add(name Name, n int64) {
	gometrics.GetOrRegisterCounter(string(name), r.reg).Inc(n)
}

// Count returns the value of a counter.
func (r *Registry) Count(name Name) int64 {
	return gometrics.GetOrRegisterCounter(string(name), r.reg).Count()
}

// SetGauge sets the value of a gauge.
func (r *Registry) SetGauge(name Name, v int64) {
	gometrics.GetOrRegisterGauge(string(name), r.reg).Update(v)
}

// histogramSampleSize is the number of values that a histogram keeps to compute
// percentiles: a uniform random sample of all observed values.
const histogramSampleSize = 512

// Observe adds a duration to a histogram.
func (r *Registry) Observe(name Name, d time.Duration) {
	h := r.reg.GetOrRegister(string(name), func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewUniformSample(histogramSampleSize))
	}).(gometrics.Histogram)
	h.Update(d.Microseconds())
}

// eachPercentile calls f with the count and with each percentile of a histogram;
// percentiles are in microseconds.
func eachPercentile(name string, h gometrics.Histogram, f func(string, int64)) {
	s := h.Snapshot()
	f(name+".count", s.Count())
	for _, p := range []struct {
		suffix   string
		quantile float64
	}{{".p50_us", 0.5}, {".p90_us", 0.9}, {".p99_us", 0.99}} {
		f(name+p.suffix, int64(s.Percentile(p.quantile)))
	}
}

// Each calls f with every exported metric, in no particular order. A histogram is
// exported as its count and percentiles.
func (r *Registry) Each(f func(name string, value int64)) {
	r.reg.Each(func(name string, m any) {
		switch m := m.(type) {
		case gometrics.Counter:
			f(name, m.Count())
		case gometrics.Gauge:
			f(name, m.Value())
		case gometrics.Histogram:
			eachPercentile(name, m, f)
		}
	})
}
