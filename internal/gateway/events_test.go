package gateway

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// Guards against an overload whose lines use up the limit, so that no line tells what became of a
// write at a replaced primary.
func TestLinesAboutReplacedPrimariesHaveALimitOfTheirOwn(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	registry := metrics.NewRegistry()
	e := newEventLog(zerolog.New(&out), registry)
	for range 2 * maxRequestLinesPerSecond {
		e.requestRefused("r", "d", &Reply{Code: CodeBusy})
	}
	lines := func() int { return strings.Count(out.String(), "\n") }
	g.Expect(lines()).To(BeNumerically("<", 2*maxRequestLinesPerSecond))
	g.Expect(registry.Count(metrics.LogLinesOmitted)).To(BeEquivalentTo(2*maxRequestLinesPerSecond - lines()))
	before := lines()
	e.replaced.Info().Msg("unanswered statement given up")
	g.Expect(lines()).To(Equal(before + 1))
}
