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

// newProcessRun is a run over separate processes.
func newProcessRun(t *testing.T, daemons int) (*processes, *run) {
	t.Helper()
	p := startProcesses(t, daemons)
	r := &run{t: t, g: NewWithT(t), rec: &history.Recorder{}, seed: seedOf(t), callers: p.callers}
	r.createTables()
	p.awaitTables()
	return p, r
}

// awaitTables waits until every endpoint has applied the tables; see run.awaitReplicas.
func (p *processes) awaitTables() {
	p.t.Helper()
	for _, e := range p.doc.Pools[0].Endpoints {
		p.g.Eventually(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), recovery)
			defer cancel()
			conn, err := workload.Connect(ctx, e.Address, poolName, "setup")
			if err != nil {
				return err
			}
			defer conn.Close(ctx)
			_, err = conn.Exec(ctx, "SELECT count(*) FROM bookings")
			return err
		}, recovery, 5*time.Millisecond).Should(Succeed(), e.Name)
	}
}

// Guards against parts that only work inside one process: three daemons, three
// endpoints and the platform run as programs of their own, and SIGTERM drains.
func TestSeparateProcesses(t *testing.T) {
	p, r := newProcessRun(t, 3)
	for i := range p.databases {
		p.setFaults(i, `{"apply_lag_ms": 20}`)
	}
	r.startSessions(false)
	time.Sleep(time.Second)
	r.awaitOperations()
	r.check()
	for _, d := range p.daemons {
		d.signal(syscall.SIGTERM)
		r.g.Expect(d.exitCode(15 * time.Second)).To(Equal(0))
	}
}

// Guards against an owner that was paused beyond its lease and then serves stale
// reads or confirms writes of its old term.
func TestOwnerPausedBeyondItsLeaseTwice(t *testing.T) {
	p, r := newProcessRun(t, 4)
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	for range 2 {
		i := p.owner()
		r.g.Expect(i).To(BeNumerically(">=", 0))
		paused := time.Now()
		p.daemons[i].signal(syscall.SIGSTOP)
		stop := r.probe(p.callers[i])
		t.Logf("confirmed again %s after the pause", r.confirmedAfter(paused))
		stop()
		time.Sleep(500 * time.Millisecond)
		p.daemons[i].signal(syscall.SIGCONT)
		time.Sleep(1500 * time.Millisecond)
	}
	r.check()
}

// Guards against the loss of confirmed bookings when the primary's process is
// killed and restarted as a replica, together with the owner's process.
func TestPrimaryAndOwnerProcessesKilled(t *testing.T) {
	p, r := newProcessRun(t, 4)
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	owner, primary := p.owner(), p.primary()
	killed := time.Now()
	p.databases[primary].signal(syscall.SIGKILL)
	p.daemons[owner].signal(syscall.SIGKILL)
	t.Logf("confirmed again %s after the kill", r.confirmedAfter(killed))
	p.startDaemon(owner)
	time.Sleep(time.Second)
	r.check()
}

// Guards against the same when the primary is cut off during the pause and comes
// back in the moment in which the owner resumes, both still believing that they
// lead; its log reaches no replica until later.
func TestOwnerPausedAndPrimaryCutFromReplicas(t *testing.T) {
	p, r := newProcessRun(t, 4)
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	owner, primary := p.owner(), p.primary()
	paused := time.Now()
	p.daemons[owner].signal(syscall.SIGSTOP)
	p.setFaults(primary, `{"cut": true}`)
	stop := r.probe(p.callers[owner])
	t.Logf("confirmed again %s after the pause", r.confirmedAfter(paused))
	stop()
	p.setFaults(primary, `{"cut": false, "cut_replication": true}`)
	p.daemons[owner].signal(syscall.SIGCONT)
	time.Sleep(settled)
	p.setFaults(primary, `{"cut_replication": false}`)
	time.Sleep(settled)
	r.check()
}
