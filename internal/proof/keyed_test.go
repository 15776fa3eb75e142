package proof_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

// Guards against a booking that is stored twice, or whose repeat with the same request
// key does not return the first result, when the owner and the primary fail together,
// twice in a row.
func TestKeyedBookingsOwnerAndPrimaryTwice(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	r.startSessions(true)
	time.Sleep(500 * time.Millisecond)
	for range 2 {
		primary := r.deployment.Primary(poolName)
		owner := r.deployment.Owner(poolName)
		killed := time.Now()
		primary.SetFaults(func(f *database.Faults) { f.Cut = true })
		owner.Kill()
		t.Logf("confirmed again %s after the kill", r.awaitConfirmedAfter(killed))
		primary.SetFaults(func(f *database.Faults) { f.Cut = false })
		r.g.Expect(owner.Start()).To(Succeed())
		time.Sleep(settleTime)
	}
	r.checkGuarantees()
	t.Logf("%d bookings were repeated", countRepeated(r.recorder.Ops()))
	r.g.Expect(countRepeated(r.recorder.Ops())).To(BeNumerically(">", 0), "no booking was repeated after an unknown outcome")
}

// countRepeated returns the number of operations that were sent more than once.
func countRepeated(ops []history.Op) int {
	n := 0
	for _, op := range ops {
		if op.Attempts > 1 {
			n++
		}
	}
	return n
}
