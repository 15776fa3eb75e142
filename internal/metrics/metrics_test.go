package metrics_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// Guards against metrics that are missing from one of the two exports.
func TestExportsContainEveryMetric(t *testing.T) {
	g := NewWithT(t)
	r := metrics.NewRegistry()
	r.Add(metrics.RefusedDeadline, 3)
	r.SetGauge(metrics.ManifestGeneration, 7)

	var text strings.Builder
	g.Expect(r.WritePrometheus(&text)).To(Succeed())
	g.Expect(text.String()).To(Equal("beryltrestle_manifest_generation 7\nberyltrestle_refused_deadline 3\n"))
	g.Expect(r.Values()).To(Equal(map[string]int64{"refused.deadline": 3, "manifest.generation": 7}))
}
