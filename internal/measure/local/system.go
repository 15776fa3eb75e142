// Package local runs a full-size deployment in one process for measurements by
// package measure.
package local

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/measure"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

// Policies that can be measured.
const (
	// PolicyCurrent is the policy that the daemon uses.
	PolicyCurrent = "current"
	// PolicyNaive runs all statements on the primary in order of arrival.
	PolicyNaive = "naive"
)

// System is a deployment on the loopback interface. It implements measure.System.
type System struct {
	deployment *localdeploy.Deployment
}

var _ measure.System = (*System)(nil)

// Start starts a deployment of the described size with the policy.
func Start(ctx context.Context, d measure.Deployment, policy string, log zerolog.Logger) (*System, error) {
	cfg := localdeploy.Config{
		Hosts:             d.Hosts,
		AvailabilityZones: d.AvailabilityZones,
		Pools:             d.Pools,
		Endpoints:         d.Endpoints,
		Database: database.Config{
			Slots:        d.Slots,
			Connections:  d.Connections,
			ConnectDelay: d.ConnectDelay,
			Faults:       database.Faults{ServiceTime: d.ServiceTime},
		},
		Rules: localdeploy.Rules{Classes: d.Classes(), Reads: d.Reads()},
		Log:   log,
	}
	switch policy {
	case PolicyCurrent:
	case PolicyNaive:
		cfg.PrimaryOnly = true
		cfg.NewScheduler = func() admission.Scheduler { return admission.NewFIFO(admission.FIFOConfig{}) }
	default:
		return nil, errors.Newf("unknown policy %q", policy)
	}
	deployment, err := localdeploy.Start(ctx, cfg)
	if err != nil {
		return nil, err
	}
	return &System{deployment: deployment}, nil
}

// Close stops the deployment.
func (s *System) Close() error { return s.deployment.Close() }

// Entries implements measure.System.
func (s *System) Entries() []string {
	var out []string
	for _, h := range s.deployment.Hosts {
		out = append(out, h.CallerAddress())
	}
	return out
}

// FailPrimary implements measure.System.
func (s *System) FailPrimary(ctx context.Context, pool string) (func(), error) {
	if err := s.deployment.WaitForOwner(ctx, pool); err != nil {
		return nil, err
	}
	primary := s.deployment.Primary(pool)
	if primary == nil {
		return nil, errors.Newf("pool %s has no primary", pool)
	}
	primary.SetFaults(func(f *database.Faults) { f.Cut = true })
	return func() { primary.SetFaults(func(f *database.Faults) { f.Cut = false }) }, nil
}

// SetReplicaLag implements measure.System. It sets the lag on all endpoints; it has
// no effect on the primary.
func (s *System) SetReplicaLag(_ context.Context, pool string, lag time.Duration) error {
	for _, e := range s.deployment.Groups[pool].Servers {
		e.SetFaults(func(f *database.Faults) { f.ApplyLag = lag })
	}
	return nil
}

// Counters implements measure.System.
func (s *System) Counters(context.Context) (map[string]int64, error) {
	out := map[string]int64{}
	for _, h := range s.deployment.Hosts {
		if h.Running() {
			h.Daemon().Metrics().Each(func(name string, v int64) { out[name] += v })
		}
	}
	return out, nil
}
