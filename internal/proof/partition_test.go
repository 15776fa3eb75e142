package proof_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

// settleTime is the time between two faults in which the deployment recovers.
const settleTime = time.Second

// Guards against bookings that are confirmed although no replica has received them. The
// owner still reaches the primary, but the primary's log reaches no replica, so such a
// booking would be lost at the next failover. This happens twice in a row, and the second
// time the owner is killed as well.
func TestPrimaryCutFromReplicasTwice(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	for i := range 2 {
		old := r.deployment.Primary(poolName)
		cut := time.Now()
		old.SetFaults(func(f *database.Faults) { f.CutReplication = true })
		time.Sleep(300 * time.Millisecond)
		// The owner still reaches this primary and does not replace it, until it is cut
		// off from its clients as well.
		r.replacePrimary(old, i == 1)
		t.Logf("gap %s", history.LongestGap(r.recorder.Ops(), cut))
		old.SetFaults(func(f *database.Faults) { f.CutReplication = false })
		time.Sleep(settleTime)
	}
	r.checkGuarantees()
}

// replacePrimary cuts the primary off from its clients until bookings are confirmed by
// another one. With killOwner, it kills the owner at the same time.
func (r *testRun) replacePrimary(old *database.Server, killOwner bool) {
	r.t.Helper()
	owner := r.deployment.Owner(poolName)
	at := time.Now()
	old.SetFaults(func(f *database.Faults) { f.CutClients = true })
	if killOwner {
		owner.Kill()
	}
	r.t.Logf("confirmed again after %s, owner killed: %t", r.awaitConfirmedAfter(at), killOwner)
	old.SetFaults(func(f *database.Faults) { f.CutClients = false })
	if killOwner {
		r.g.Expect(owner.Start()).To(Succeed())
	}
}

// Guards against writes that a replaced primary still gets confirmed: the owner cannot
// reach the primary, but the primary still sends its log to its replicas. This happens
// twice in a row, and the second time the owner is killed as well.
func TestPrimaryCutFromOwnerTwice(t *testing.T) {
	// With this service time, some statements are running when the primary is cut off:
	// they commit and are replicated, but their answers are lost.
	slow := database.Config{Faults: database.Faults{ServiceTime: 10 * time.Millisecond}}
	r := newRun(t, localdeploy.Config{Hosts: 4, Database: slow})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	for i := range 2 {
		old := r.deployment.Primary(poolName)
		r.replacePrimary(old, i == 1)
		time.Sleep(settleTime)
	}
	r.checkGuarantees()
}
