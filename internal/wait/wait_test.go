package wait_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// Guards against a pause that outlives its context, and one that reports a full
// wait although it was cut short.
func TestFor(t *testing.T) {
	g := NewWithT(t)
	g.Expect(wait.Sleep(t.Context(), time.Millisecond)).To(BeTrue())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	began := time.Now()
	g.Expect(wait.Sleep(ctx, time.Hour)).To(BeFalse())
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Minute))
}
