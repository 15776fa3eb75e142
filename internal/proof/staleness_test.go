package proof_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

// Guards against reads that miss the session's own bookings while replicas lag far
// behind, the primary is cut off and the owner is killed. Each request of a session goes
// to another host.
func TestReadYourWritesWithReplicasFarBehind(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	lag := func(d time.Duration) {
		for _, s := range r.deployment.Groups[poolName].Servers {
			s.SetFaults(func(f *database.Faults) { f.ApplyLag = d })
		}
	}
	lag(300 * time.Millisecond)
	r.startSessions(false)
	time.Sleep(time.Second)
	lag(50 * time.Millisecond)
	time.Sleep(time.Second)
	cut := time.Now()
	primary := r.deployment.Primary(poolName)
	primary.SetFaults(func(f *database.Faults) { f.Cut = true })
	r.awaitConfirmedAfter(cut)
	primary.SetFaults(func(f *database.Faults) { f.Cut = false })
	lag(300 * time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	killed := time.Now()
	owner := r.deployment.Owner(poolName)
	owner.Kill()
	r.awaitConfirmedAfter(killed)
	lag(0)
	time.Sleep(500 * time.Millisecond)
	r.g.Expect(owner.Start()).To(Succeed())
	r.checkGuarantees()
	r.g.Expect(r.deployment.CounterSum(metrics.ReadsReplica)).To(BeNumerically(">", 20), "replicas served too few reads")
}
