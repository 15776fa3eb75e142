// Package demo shows the main job on embedded stand-ins: sessions book and look
// up through every daemon, the primary is cut off, and booking goes on.
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
	// steadyTime is the time before and after the cut.
	steadyTime = 2 * time.Second
	// cutTime is how long the primary stays cut off.
	cutTime = 4 * time.Second
	// tableTime lets the replicas apply the new table; lookups of other sessions
	// may be served by a replica that does not have it yet.
	tableTime = 500 * time.Millisecond
	// manifestBound is the time in which an accepted manifest must be in force.
	manifestBound = 5 * time.Second
)

// Run runs the demo, about 10 s, and returns what happened.
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
	time.Sleep(tableTime)
	rec := &history.Recorder{}
	load := &workload.Load{
		Sessions: sessions,
		Readers:  readers,
		Frames:   frames,
		Pause:    5 * time.Millisecond,
		Pool:     pool,
		Entries:  d.CallerAddresses(),
		Recorder: rec,
		Seed:     1,
	}
	load.Start()
	time.Sleep(steadyTime)
	cut := time.Now()
	primary := d.Primary(pool)
	primary.SetFaults(func(f *database.Faults) { f.Cut = true })
	time.Sleep(cutTime)
	primary.SetFaults(func(f *database.Faults) { f.Cut = false })
	inForce, err := changeManifest(ctx, d)
	if err != nil {
		load.Stop()
		return nil, err
	}
	time.Sleep(steadyTime)
	load.Stop()
	stored, err := workload.Stored(ctx, d.CallerAddresses()[0], pool)
	if err != nil {
		return nil, errors.Wrap(err, "read the final table")
	}
	r := report(rec.Ops(), stored, cut)
	r.Manifest = inForce
	r.ReplicaShare = replicaShare(d)
	return r, nil
}

func createTables(ctx context.Context, d *localdeploy.Deployment) error {
	conn, err := workload.Connect(ctx, d.CallerAddresses()[0], pool, "setup")
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, workload.Schema)
	return errors.Wrap(err, "create tables")
}

// changeManifest applies a new manifest and returns the time until every daemon
// applies it.
func changeManifest(ctx context.Context, d *localdeploy.Deployment) (time.Duration, error) {
	next := *d.Manifest
	next.Pools = append([]manifest.Pool(nil), d.Manifest.Pools...)
	next.Pools[0].Reads = []manifest.ReadKind{{
		Name: "lookup", MaxStalenessMs: 2000, Match: manifest.Match{Tag: "lookup"},
	}}
	started := time.Now()
	res, err := d.Store().Apply(ctx, &next, 1, "demo")
	if err != nil {
		return 0, errors.Wrap(err, "apply the manifest")
	}
	for !d.InForce(res.Generation) {
		if time.Since(started) > manifestBound {
			return 0, errors.Newf("manifest %d is not in force everywhere after %s", res.Generation, manifestBound)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(started), nil
}

func report(ops []history.Op, stored map[string]int, cut time.Time) *Report {
	sum := history.Summarize(ops)
	r := &Report{
		Operations:  len(ops),
		Confirmed:   sum.Confirmed,
		NotRun:      sum.NotRun,
		Unknown:     sum.Unknown,
		FailoverGap: history.Gap(ops, cut),
		Refusals:    sum.Reasons,
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

// replicaShare is the share of lookups that replicas answered, in percent.
// Reads of other kinds may only run on the primary and are not counted.
func replicaShare(d *localdeploy.Deployment) float64 {
	replica := d.Count(metrics.ReadsReplica)
	eligible := replica + d.Count(metrics.ReadsPrimaryEligible)
	if eligible == 0 {
		return 0
	}
	return 100 * float64(replica) / float64(eligible)
}
