package proof_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

// Guards against lost, doubled or stale bookings when a primary is cut off from
// the owner and from its replicas while it still believes that it leads.
func TestPrimaryCutOffTwice(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 3})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	for range 2 {
		old := r.d.Primary(poolName)
		cut := time.Now()
		old.SetFaults(func(f *database.Faults) { f.Cut = true })
		t.Logf("cut at %s", cut.Format("15:04:05.000"))
		t.Logf("confirmed again %s after the cut", r.confirmedAfter(cut))
		time.Sleep(500 * time.Millisecond)
		t.Logf("gap %s", history.LongestGap(r.rec.Ops(), cut))
		old.SetFaults(func(f *database.Faults) { f.Cut = false })
		time.Sleep(time.Second)
	}
	r.check()
}

// Guards against two daemons that serve the same group, and against sessions
// that read stale data at the new owner, when the owner dies.
func TestOwnerKilledTwice(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	for range 2 {
		owner := r.d.Owner(poolName)
		killed := time.Now()
		owner.Kill()
		t.Logf("confirmed again %s after the kill", r.confirmedAfter(killed))
		time.Sleep(500 * time.Millisecond)
		t.Logf("gap %s", history.LongestGap(r.rec.Ops(), killed))
		r.g.Expect(owner.Start()).To(Succeed())
		time.Sleep(time.Second)
	}
	r.check()
}

// Guards against a claim that needs the dead primary, when the owner and the
// primary die together.
func TestOwnerAndPrimaryDieTogether(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	primary := r.d.Primary(poolName)
	owner := r.d.Owner(poolName)
	killed := time.Now()
	primary.SetFaults(func(f *database.Faults) { f.Cut = true })
	owner.Kill()
	t.Logf("confirmed again %s after the kill", r.confirmedAfter(killed))
	time.Sleep(500 * time.Millisecond)
	t.Logf("gap %s", history.LongestGap(r.rec.Ops(), killed))
	primary.SetFaults(func(f *database.Faults) { f.Cut = false })
	time.Sleep(time.Second)
	r.check()
}
