package proof_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

// settled is the time that a run is given between two faults.
const settled = time.Second

// Guards against bookings that are confirmed by a primary which the owner still
// reaches but whose log reaches no replica, twice in a row, the second time
// together with the end of the owner. A booking that only such a primary holds is
// lost at the next change of primary.
func TestPrimaryCutFromReplicasTwice(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	for i := range 2 {
		old := r.d.Primary(poolName)
		cut := time.Now()
		old.SetFaults(func(f *database.Faults) { f.CutReplication = true })
		time.Sleep(300 * time.Millisecond)
		// The owner reaches this primary, so only its next fault replaces it.
		r.replacePrimary(old, i == 1)
		t.Logf("gap %s", history.LongestGap(r.rec.Ops(), cut))
		old.SetFaults(func(f *database.Faults) { f.CutReplication = false })
		time.Sleep(settled)
	}
	r.check()
}

// replacePrimary makes the primary unreachable for clients until bookings are
// confirmed elsewhere, with the owner killed at the same time if asked.
func (r *run) replacePrimary(old *database.Server, killOwner bool) {
	r.t.Helper()
	owner := r.d.Owner(poolName)
	at := time.Now()
	old.SetFaults(func(f *database.Faults) { f.CutClients = true })
	if killOwner {
		owner.Kill()
	}
	r.t.Logf("confirmed again after %s, owner killed: %t", r.confirmedAfter(at), killOwner)
	old.SetFaults(func(f *database.Faults) { f.CutClients = false })
	if killOwner {
		r.g.Expect(owner.Start()).To(Succeed())
	}
}

// Guards against a primary that the owner cannot reach, but which still sends its
// log to its replicas, and so could have late writes confirmed after its
// replacement; twice in a row, the second time together with the end of the owner.
func TestPrimaryCutFromOwnerTwice(t *testing.T) {
	// Statements take long enough that some run when the primary is cut off: they
	// commit and are replicated, but their answers are lost.
	slow := database.Config{Faults: database.Faults{ServiceTime: 10 * time.Millisecond}}
	r := newRun(t, localdeploy.Config{Hosts: 4, Database: slow})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	for i := range 2 {
		old := r.d.Primary(poolName)
		r.replacePrimary(old, i == 1)
		time.Sleep(settled)
	}
	r.check()
}
