package proof_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/workload"
)

// newProcessRun starts a deployment of separate processes and a test run that uses it.
func newProcessRun(t *testing.T, daemons int) (*processDeployment, *testRun) {
	t.Helper()
	p := startProcesses(t, daemons)
	r := &testRun{t: t, g: NewWithT(t), recorder: &history.Recorder{}, seed: seedOf(t), entryAddresses: p.callerAddresses}
	r.createTables()
	p.awaitTables()
	return p, r
}

// awaitTables waits until the bookings table exists on every endpoint; see
// testRun.awaitReplicas.
func (p *processDeployment) awaitTables() {
	p.t.Helper()
	for _, e := range p.manifest.Pools[0].Endpoints {
		p.g.Eventually(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
			defer cancel()
			conn, err := workload.Connect(ctx, e.Address, poolName, "setup")
			if err != nil {
				return err
			}
			defer conn.Close(ctx)
			_, err = conn.Exec(ctx, "SELECT count(*) FROM bookings")
			return err
		}, recoveryTimeout, 5*time.Millisecond).Should(Succeed(), e.Name)
	}
}

// Guards against features that only work inside one process: three daemons, three
// endpoints and the platform run as separate processes. Also guards against daemons
// that do not drain on SIGTERM.
func TestSeparateProcesses(t *testing.T) {
	p, r := newProcessRun(t, 3)
	for i := range p.databases {
		p.setFaults(i, `{"apply_lag_ms": 20}`)
	}
	r.startSessions(false)
	time.Sleep(time.Second)
	r.awaitOperations()
	r.checkGuarantees()
	for _, d := range p.daemons {
		d.signal(syscall.SIGTERM)
		r.g.Expect(d.exitCode(15 * time.Second)).To(Equal(0))
	}
}

// Guards against an owner whose process is paused for longer than its lease and which
// then serves stale reads or confirms writes of its old term.
func TestOwnerPausedBeyondItsLeaseTwice(t *testing.T) {
	p, r := newProcessRun(t, 4)
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	for range 2 {
		i := p.owner()
		r.g.Expect(i).To(BeNumerically(">=", 0))
		paused := time.Now()
		p.daemons[i].signal(syscall.SIGSTOP)
		stop := r.startProbe(p.callerAddresses[i])
		t.Logf("confirmed again %s after the pause", r.awaitConfirmedAfter(paused))
		stop()
		time.Sleep(500 * time.Millisecond)
		p.daemons[i].signal(syscall.SIGCONT)
		time.Sleep(1500 * time.Millisecond)
	}
	r.checkGuarantees()
}

// Guards against the loss of confirmed bookings when the processes of the primary and of
// the owner are killed together. The owner is restarted.
func TestPrimaryAndOwnerProcessesKilled(t *testing.T) {
	p, r := newProcessRun(t, 4)
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	owner, primary := p.ownerAndPrimary()
	killed := time.Now()
	p.databases[primary].signal(syscall.SIGKILL)
	p.daemons[owner].signal(syscall.SIGKILL)
	t.Logf("confirmed again %s after the kill", r.awaitConfirmedAfter(killed))
	p.startDaemon(owner)
	time.Sleep(time.Second)
	r.checkGuarantees()
}

// Guards against an owner that resumes after a pause, together with a primary that was
// cut off meanwhile: both still act in their old roles when they come back, and the
// primary's log reaches no replica until later.
func TestOwnerPausedAndPrimaryCutFromReplicas(t *testing.T) {
	p, r := newProcessRun(t, 4)
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	owner, primary := p.ownerAndPrimary()
	paused := time.Now()
	p.daemons[owner].signal(syscall.SIGSTOP)
	p.setFaults(primary, `{"cut": true}`)
	stop := r.startProbe(p.callerAddresses[owner])
	t.Logf("confirmed again %s after the pause", r.awaitConfirmedAfter(paused))
	stop()
	p.setFaults(primary, `{"cut": false, "cut_replication": true}`)
	p.daemons[owner].signal(syscall.SIGCONT)
	time.Sleep(settleTime)
	p.setFaults(primary, `{"cut_replication": false}`)
	time.Sleep(settleTime)
	r.checkGuarantees()
}
