package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// Guards against an endpoint that looks fast because it sheds work at once: what waits for
// it would be admitted without a chance (lindqvist-vev scale-1 --seed 2: a primary with 21
// statements under way before 2 slots was taken for one that answers within 20 ms).
func TestRefusalsDoNotMakeAnEndpointFast(t *testing.T) {
	g := NewWithT(t)
	p, tg := withConns(1, 1)
	c := tg.idle[0]
	answer := func(code Code, took time.Duration) {
		p.begin(c, false)
		p.end(c, boottime.Now().Add(-took), &Reply{Code: code}, nil, logpos.Position{})
	}
	for range 50 {
		answer(CodeNone, 100*time.Millisecond)
	}
	g.Expect(tg.latency).To(BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
	for range 50 {
		answer(CodeBusy, time.Millisecond)
		answer(CodeLagging, time.Millisecond)
	}
	g.Expect(tg.latency).To(BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
}
