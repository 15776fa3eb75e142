// Package metrics holds the counters of a daemon and writes them as JSON and in
// the Prometheus text format.
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

// Inc adds 1 to the counter.
func (r *Registry) Inc(name Name) { r.Add(name, 1) }

// Add adds n to the counter.
func (r *Registry) Add(name Name, n int64) {
	gometrics.GetOrRegisterCounter(string(name), r.reg).Inc(n)
}

// Count returns the counter's value.
func (r *Registry) Count(name Name) int64 {
	return gometrics.GetOrRegisterCounter(string(name), r.reg).Count()
}

// SetGauge sets the gauge.
func (r *Registry) SetGauge(name Name, v int64) {
	gometrics.GetOrRegisterGauge(string(name), r.reg).Update(v)
}

// histogramSampleSize is how many of the newest values a histogram's percentiles rest on.
const histogramSampleSize = 512

// Observe adds a duration to the histogram.
func (r *Registry) Observe(name Name, d time.Duration) {
	h := r.reg.GetOrRegister(string(name), func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewUniformSample(histogramSampleSize))
	}).(gometrics.Histogram)
	h.Update(d.Microseconds())
}

// eachPercentile calls f for the count and the percentiles of a histogram, in
// microseconds.
func eachPercentile(name string, h gometrics.Histogram, f func(string, int64)) {
	s := h.Snapshot()
	f(name+".count", s.Count())
	for _, p := range []struct {
		suffix string
		share  float64
	}{{".p50_us", 0.5}, {".p90_us", 0.9}, {".p99_us", 0.99}} {
		f(name+p.suffix, int64(s.Percentile(p.share)))
	}
}

// Each calls f for every counter and gauge, in no particular order.
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
