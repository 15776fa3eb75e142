package proof_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

// Guards against lost, duplicate or stale bookings when a primary is cut off from the
// owner and from its replicas, but still acts as primary.
func TestPrimaryCutOffTwice(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 3})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	for range 2 {
		old := r.deployment.Primary(poolName)
		cut := time.Now()
		old.SetFaults(func(f *database.Faults) { f.Cut = true })
		t.Logf("cut at %s", cut.Format("15:04:05.000"))
		t.Logf("confirmed again %s after the cut", r.awaitConfirmedAfter(cut))
		time.Sleep(500 * time.Millisecond)
		t.Logf("gap %s", history.LongestGap(r.recorder.Ops(), cut))
		old.SetFaults(func(f *database.Faults) { f.Cut = false })
		time.Sleep(time.Second)
	}
	r.checkGuarantees()
}

// Guards against two daemons that serve the same group, and against sessions that read
// stale data through the new owner, after the owner was killed.
func TestOwnerKilledTwice(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	for range 2 {
		owner := r.deployment.Owner(poolName)
		killed := time.Now()
		owner.Kill()
		t.Logf("confirmed again %s after the kill", r.awaitConfirmedAfter(killed))
		time.Sleep(500 * time.Millisecond)
		t.Logf("gap %s", history.LongestGap(r.recorder.Ops(), killed))
		r.g.Expect(owner.Start()).To(Succeed())
		time.Sleep(time.Second)
	}
	r.checkGuarantees()
}

// Guards against a claim that cannot succeed without the failed primary when the owner
// and the primary fail together.
func TestOwnerAndPrimaryDieTogether(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	primary := r.deployment.Primary(poolName)
	owner := r.deployment.Owner(poolName)
	killed := time.Now()
	primary.SetFaults(func(f *database.Faults) { f.Cut = true })
	owner.Kill()
	t.Logf("confirmed again %s after the kill", r.awaitConfirmedAfter(killed))
	time.Sleep(500 * time.Millisecond)
	t.Logf("gap %s", history.LongestGap(r.recorder.Ops(), killed))
	primary.SetFaults(func(f *database.Faults) { f.Cut = false })
	time.Sleep(time.Second)
	r.checkGuarantees()
}
