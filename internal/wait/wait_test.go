package wait_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// Guards against a sleep that outlasts its context, and against an interrupted
// sleep that is reported as complete.
func TestSleep(t *testing.T) {
	g := NewWithT(t)
	g.Expect(wait.Sleep(t.Context(), time.Millisecond)).To(BeTrue())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	start := time.Now()
	g.Expect(wait.Sleep(ctx, time.Hour)).To(BeFalse())
	g.Expect(time.Since(start)).To(BeNumerically("<", time.Minute))
}
