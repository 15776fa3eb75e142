// Package proof holds the tests of the guarantees under failure. Concurrent
// sessions run against a whole deployment while faults are injected; the
// recorded history is then checked. docs/proofs.md lists the tests.
package proof_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/workload"
)

const (
	// poolName is the name of the only pool.
	poolName = "members"
	// sessions is the number of concurrent sessions.
	sessions = 12
	// frames is the number of frames for which the sessions compete.
	frames = 40
	// recoveryTimeout bounds the time from the last fault until bookings are confirmed
	// again: a failover is over within 9 s.
	recoveryTimeout = 9 * time.Second
)

// seedVar is the environment variable that sets the seed, to repeat an earlier run.
const seedVar = "BERYLTRESTLE_SEED"

// testRun is the state of one test: a deployment and the recorded sessions that use
// it.
type testRun struct {
	t          *testing.T
	g          *WithT
	deployment *localdeploy.Deployment
	recorder   *history.Recorder
	seed       uint64
	load       *workload.Load
	// probeCount counts the calls of startProbe.
	probeCount int
	// entryAddresses are the hosts' caller addresses if deployment is nil, because the
	// hosts run as separate processes.
	entryAddresses []string
}

func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

func newRun(t *testing.T, cfg localdeploy.Config) *testRun {
	t.Helper()
	seed := seedOf(t)
	cfg.Log = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: "15:04:05.000", NoColor: true}).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	if os.Getenv("BERYLTRESTLE_LOG") == "" {
		cfg.Log = zerolog.Nop()
	}
	r := &testRun{t: t, g: NewWithT(t), recorder: &history.Recorder{}, seed: seed}
	d, err := localdeploy.Start(context.Background(), cfg)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.deployment = d
	t.Cleanup(func() { _ = d.Close() })
	r.createTables()
	return r
}

func seedOf(t *testing.T) uint64 {
	seed := uint64(1)
	if s := os.Getenv(seedVar); s != "" {
		seed, _ = strconv.ParseUint(s, 10, 64)
	}
	t.Logf("seed %d (set %s to repeat another)", seed, seedVar)
	return seed
}

func (r *testRun) createTables() {
	r.t.Helper()
	r.runStatement(workload.CreateBookingsSQL)
	r.awaitReplicas()
}

// awaitReplicas waits until every replica has applied all entries of the primary's
// log. A session that starts earlier could read from a replica on which the table does
// not exist yet, which would count as an unknown outcome.
func (r *testRun) awaitReplicas() {
	r.t.Helper()
	if r.deployment == nil {
		return
	}
	r.g.Eventually(func() bool { return r.deployment.ReplicasCaughtUp(poolName) }, recoveryTimeout, 5*time.Millisecond).Should(BeTrue())
}

// runStatement runs one statement through a host and fails the test on an error.
func (r *testRun) runStatement(sql string) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	conn, err := workload.Connect(ctx, r.entries()[0], poolName, "setup")
	r.g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, sql)
	r.g.Expect(err).NotTo(HaveOccurred())
}

// otherHost returns a running host other than h.
func (r *testRun) otherHost(h *localdeploy.Host) *localdeploy.Host {
	for _, other := range r.deployment.Hosts {
		if other != h && other.Running() {
			return other
		}
	}
	r.t.Fatal("no other host runs")
	return nil
}

func (r *testRun) entries() []string {
	if r.deployment == nil {
		return r.entryAddresses
	}
	return r.deployment.CallerAddresses()
}

// startSessions starts concurrent sessions, which use all running hosts until
// stopSessions is called.
func (r *testRun) startSessions(keyed bool) {
	r.load = &workload.Load{
		Sessions:    sessions,
		Frames:      frames,
		MaxPause:    4 * time.Millisecond,
		Pool:        poolName,
		Entries:     r.entries(),
		Recorder:    r.recorder,
		RequestKeys: keyed,
		Seed:        r.seed,
	}
	r.load.Start()
}

func (r *testRun) stopSessions() { r.load.Stop() }

// startProbe starts a session that books through all hosts except the paused one until
// the returned function is called. The sessions of the load use all hosts in turn and
// wait at a paused one until their timeout. All of them may be waiting there when
// bookings are possible again, so they would notice it late.
func (r *testRun) startProbe(paused string) (stop func()) {
	r.probeCount++
	s := &workload.Session{Name: fmt.Sprintf("probe-%d", r.probeCount), Pool: poolName, Recorder: r.recorder}
	for _, e := range r.entries() {
		if e != paused {
			s.Entries = append(s.Entries, e)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		defer s.Close()
		for ctx.Err() == nil {
			s.Book(context.Background(), "")
			time.Sleep(10 * time.Millisecond)
		}
	})
	return func() {
		cancel()
		done.Wait()
	}
}

// awaitConfirmedAfter waits until a booking that started after the given time is
// confirmed, and returns the time until then. It fails the test after
// recoveryTimeout.
func (r *testRun) awaitConfirmedAfter(start time.Time) time.Duration {
	r.t.Helper()
	deadline := start.Add(recoveryTimeout)
	for time.Now().Before(deadline) {
		for _, op := range r.recorder.Ops() {
			if op.Kind == history.Book && op.Result == history.OK && op.Start.After(start) {
				return op.End.Sub(start)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatalf("no booking was confirmed within %s", recoveryTimeout)
	return 0
}

// minOperations is the number of successful operations below which a history is too
// short to be evidence.
const minOperations = 100

// awaitOperations waits until the history has enough operations. On a busy machine, one
// second of load is not enough.
func (r *testRun) awaitOperations() {
	r.t.Helper()
	r.g.Eventually(func() int { return history.Summarize(r.recorder.Ops()).OK }, recoveryTimeout, 20*time.Millisecond).Should(BeNumerically(">", minOperations))
}

// checkGuarantees stops the sessions and checks the whole history against the stored
// bookings.
func (r *testRun) checkGuarantees() {
	r.t.Helper()
	r.stopSessions()
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	stored, err := workload.CountStored(ctx, r.entries()[0], poolName)
	r.g.Expect(err).NotTo(HaveOccurred())
	ops := r.recorder.Ops()
	summary := history.Summarize(ops)
	r.t.Logf("%d operations: %+v", len(ops), summary)
	r.g.Expect(history.Check(ops, stored)).To(BeEmpty())
	r.g.Expect(summary.OK).To(BeNumerically(">", minOperations))
}
