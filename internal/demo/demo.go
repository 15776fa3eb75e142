// Package demo runs a short demonstration with embedded stand-ins: sessions book and
// look up through every daemon, the primary is cut off, and bookings continue on its
// replacement.
package demo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
	"github.com/beryltrestle/beryltrestle/internal/workload"
)

const (
	pool     = "members"
	sessions = 12
	readers  = 12
	frames   = 60
	// steadyDuration is how long the load runs before the primary is cut off, and after
	// the new manifest is in force.
	steadyDuration = 2 * time.Second
	// cutDuration is how long the primary stays cut off.
	cutDuration = 4 * time.Second
	// tableReplicationDelay is the time for the replicas to apply the new table. Before,
	// a lookup could be served by a replica on which the table does not exist.
	tableReplicationDelay = 500 * time.Millisecond
	// manifestTimeout is the time within which an accepted manifest must be in force.
	manifestTimeout = 5 * time.Second
)

// Run runs the demo, which takes about 10 s, and returns its report.
func Run(ctx context.Context) (*Report, error) {
	d, err := localdeploy.Start(ctx, localdeploy.Config{
		Hosts: 3,
		Pools: []string{pool},
		Database: database.Config{
			ConnectDelay: 10 * time.Millisecond,
			Faults: database.Faults{
				ReceiveLag:  time.Millisecond,
				ApplyLag:    100 * time.Millisecond,
				ServiceTime: time.Millisecond,
			},
		},
	})
	if err != nil {
		return nil, errors.Wrap(err, "start the deployment")
	}
	defer func() { _ = d.Close() }()
	return run(ctx, d)
}

func run(ctx context.Context, d *localdeploy.Deployment) (*Report, error) {
	if err := createTables(ctx, d); err != nil {
		return nil, err
	}
	time.Sleep(tableReplicationDelay)
	recorder := &history.Recorder{}
	load := &workload.Load{
		Sessions: sessions,
		Readers:  readers,
		Frames:   frames,
		MaxPause: 5 * time.Millisecond,
		Pool:     pool,
		Entries:  d.CallerAddresses(),
		Recorder: recorder,
		Seed:     1,
	}
	load.Start()
	time.Sleep(steadyDuration)
	cutAt := time.Now()
	primary := d.Primary(pool)
	primary.SetFaults(func(f *database.Faults) { f.Cut = true })
	time.Sleep(cutDuration)
	primary.SetFaults(func(f *database.Faults) { f.Cut = false })
	inForce, err := changeManifest(ctx, d)
	if err != nil {
		load.Stop()
		return nil, err
	}
	time.Sleep(steadyDuration)
	load.Stop()
	stored, err := workload.CountStored(ctx, d.CallerAddresses()[0], pool)
	if err != nil {
		return nil, errors.Wrap(err, "read the final table")
	}
	r := newReport(recorder.Ops(), stored, cutAt)
	r.ManifestDelay = inForce
	r.ReplicaShare = replicaShare(d)
	return r, nil
}

func createTables(ctx context.Context, d *localdeploy.Deployment) error {
	conn, err := workload.Connect(ctx, d.CallerAddresses()[0], pool, "setup")
	if err != nil {
		return errors.Wrap(err, "connect to a host")
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, workload.CreateBookingsSQL)
	return errors.Wrap(err, "create the bookings table")
}

// changeManifest applies a new manifest and returns the time until it is in force on
// every daemon.
func changeManifest(ctx context.Context, d *localdeploy.Deployment) (time.Duration, error) {
	next := *d.Manifest
	next.Pools = append([]manifest.Pool(nil), d.Manifest.Pools...)
	next.Pools[0].Reads = []manifest.ReadKind{{
		Name: "lookup", MaxStalenessMs: 2000, Match: manifest.Match{Tag: "lookup"},
	}}
	started := time.Now()
	res, err := d.ManifestStore().Apply(ctx, &next, 1, "demo")
	if err != nil {
		return 0, errors.Wrap(err, "apply the manifest")
	}
	for !d.ManifestInForce(res.Generation) {
		if time.Since(started) > manifestTimeout {
			return 0, errors.Newf("manifest %d is not in force everywhere after %s", res.Generation, manifestTimeout)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(started), nil
}

func newReport(ops []history.Op, stored map[string]int, cutAt time.Time) *Report {
	summary := history.Summarize(ops)
	r := &Report{
		Operations:  len(ops),
		Confirmed:   summary.Confirmed,
		NotRun:      summary.NotRun,
		Unknown:     summary.Unknown,
		FailoverGap: history.LongestGap(ops, cutAt),
		Refusals:    summary.Reasons,
		Violations:  history.Check(ops, stored),
	}
	for _, v := range r.Violations {
		switch v.Rule {
		case history.RuleLost:
			r.Lost++
		case history.RuleDuplicate:
			r.MadeTwice++
		}
	}
	return r
}

// replicaShare returns the percentage of lookups that replicas answered. Other reads
// must run on the primary, so they do not count.
func replicaShare(d *localdeploy.Deployment) float64 {
	replica := d.CounterSum(metrics.ReadsReplica)
	eligible := replica + d.CounterSum(metrics.ReadsPrimaryEligible)
	if eligible == 0 {
		return 0
	}
	return 100 * float64(replica) / float64(eligible)
}
