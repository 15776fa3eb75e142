// Package proof holds the tests of the guarantees under failure. Concurrent
// sessions run against a whole deployment while faults are injected; the
// recorded history is then checked. docs/proofs.md lists them.
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
	// poolName is the one pool of most runs.
	poolName = "members"
	// sessions run at once.
	sessions = 12
	// frames are shared between sessions, so that bookings compete.
	frames = 40
	// recovery bounds the time after the last fault until bookings are confirmed
	// again: a change of primary is over within 9 s.
	recovery = 9 * time.Second
)

// seedVar repeats a run with the seed that an earlier run printed.
const seedVar = "BERYLTRESTLE_SEED"

// run is one deployment with its recorded sessions.
type run struct {
	t    *testing.T
	g    *WithT
	d    *localdeploy.Deployment
	rec  *history.Recorder
	seed uint64
	load *workload.Load
	// probes counts the calls of probe.
	probes int
	// callers are the entries' addresses if there is no d.
	callers []string
}

func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

func newRun(t *testing.T, cfg localdeploy.Config) *run {
	t.Helper()
	seed := seedOf(t)
	cfg.Log = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: "15:04:05.000", NoColor: true}).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	if os.Getenv("BERYLTRESTLE_LOG") == "" {
		cfg.Log = zerolog.Nop()
	}
	r := &run{t: t, g: NewWithT(t), rec: &history.Recorder{}, seed: seed}
	d, err := localdeploy.Start(context.Background(), cfg)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.d = d
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

func (r *run) createTables() {
	r.t.Helper()
	r.exec(workload.CreateBookingsSQL)
	r.awaitReplicas()
}

// awaitReplicas waits until every replica has applied what the primary's log holds
// now. Sessions that start earlier read from replicas without the table, which
// counts as an outcome that is not known.
func (r *run) awaitReplicas() {
	r.t.Helper()
	if r.d == nil {
		return
	}
	r.g.Eventually(func() bool { return r.d.ReplicasCaughtUp(poolName) }, recovery, 5*time.Millisecond).Should(BeTrue())
}

// exec runs one statement through an entry.
func (r *run) exec(sql string) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), recovery)
	defer cancel()
	conn, err := workload.Connect(ctx, r.entries()[0], poolName, "setup")
	r.g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, sql)
	r.g.Expect(err).NotTo(HaveOccurred())
}

// otherThan returns a running host that is not h.
func (r *run) otherThan(h *localdeploy.Host) *localdeploy.Host {
	for _, other := range r.d.Hosts {
		if other != h && other.Running() {
			return other
		}
	}
	r.t.Fatal("no other host runs")
	return nil
}

func (r *run) entries() []string {
	if r.d == nil {
		return r.callers
	}
	return r.d.CallerAddresses()
}

// startSessions starts concurrent sessions that use every running entry, until
// stopSessions.
func (r *run) startSessions(keyed bool) {
	r.load = &workload.Load{
		Sessions:    sessions,
		Frames:      frames,
		MaxPause:    4 * time.Millisecond,
		Pool:        poolName,
		Entries:     r.entries(),
		Recorder:    r.rec,
		RequestKeys: keyed,
		Seed:        r.seed,
	}
	r.load.Start()
}

func (r *run) stopSessions() { r.load.Stop() }

// probe books through entries other than the paused one until the returned
// function is called. Each session of the load uses all entries in turn and waits
// at a paused one for its timeout, so that all of them may be waiting there when
// service is back.
func (r *run) probe(paused string) (stop func()) {
	r.probes++
	s := &workload.Session{Name: fmt.Sprintf("probe-%d", r.probes), Pool: poolName, Recorder: r.rec}
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

// confirmedAfter waits until a booking that started after the given time is
// confirmed, and fails the test after the recovery bound.
func (r *run) confirmedAfter(at time.Time) time.Duration {
	r.t.Helper()
	deadline := at.Add(recovery)
	for time.Now().Before(deadline) {
		for _, op := range r.rec.Ops() {
			if op.Kind == history.Book && op.Result == history.OK && op.Start.After(at) {
				return op.End.Sub(at)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatalf("no booking was confirmed within %s", recovery)
	return 0
}

// leastOperations is the number of successful operations that a history needs to show
// anything.
const leastOperations = 100

// awaitOperations waits until the history has enough operations. On a busy machine a
// second does not suffice.
func (r *run) awaitOperations() {
	r.t.Helper()
	r.g.Eventually(func() int { return history.Summarize(r.rec.Ops()).OK }, recovery, 20*time.Millisecond).Should(BeNumerically(">", leastOperations))
}

// check stops the sessions and verifies the whole history.
func (r *run) check() {
	r.t.Helper()
	r.stopSessions()
	ctx, cancel := context.WithTimeout(context.Background(), recovery)
	defer cancel()
	stored, err := workload.CountStored(ctx, r.entries()[0], poolName)
	r.g.Expect(err).NotTo(HaveOccurred())
	ops := r.rec.Ops()
	sum := history.Summarize(ops)
	r.t.Logf("%d operations: %+v", len(ops), sum)
	r.g.Expect(history.Check(ops, stored)).To(BeEmpty())
	r.g.Expect(sum.OK).To(BeNumerically(">", leastOperations))
}
