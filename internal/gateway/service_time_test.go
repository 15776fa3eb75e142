package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// Guards against an endpoint that looks fast because it rejects statements at once, so
// that statements are admitted that cannot be served in time. A primary with 21
// statements in flight and 2 slots was expected to answer within 20 ms (seen on
// lindqvist-vev scale-1, --seed 2).
func TestRejectionsDoNotLowerServiceTime(t *testing.T) {
	g := NewWithT(t)
	p, tg := poolWithIdleConns(1, 1)
	c := tg.idle[0]
	answer := func(code Code, took time.Duration) {
		p.statementStarted(c, false)
		p.statementEnded(c, boottime.Now().Add(-took), &Reply{Code: code}, nil, logpos.Position{})
	}
	for range 50 {
		answer(CodeNone, 100*time.Millisecond)
	}
	g.Expect(tg.serviceTime).To(BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
	for range 50 {
		answer(CodeBusy, time.Millisecond)
		answer(CodeLagging, time.Millisecond)
	}
	g.Expect(tg.serviceTime).To(BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
}
