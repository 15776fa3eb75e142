package cli

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/internal/measure"
	"github.com/beryltrestle/beryltrestle/internal/measure/local"
)

// errCheckFailed reports that bookings of the run were lost, made twice or read
// stale, so that its results are not valid.
var errCheckFailed = errors.New("the run's bookings did not pass the check")

// measureCommand runs one scenario on embedded stand-ins.
type measureCommand struct {
	Scenario   string        `arg:"" help:"Scenario: ${enum}." enum:"crest,blocking,failover,replica-share"`
	Deployment string        `help:"Deployment that determines the sizes: ${enum}." enum:"cooperative,lindqvist" default:"cooperative"`
	Policy     string        `help:"Admission policy: ${enum}." enum:"naive,current" default:"current"`
	Seed       uint64        `help:"Seed of the generated load." default:"1"`
	Unit       time.Duration `help:"Duration that scales the length of every phase." default:"5s"`
}

// Run runs the scenario and returns an error if its check failed.
func (c *measureCommand) Run(e *environment) error {
	report, err := c.measure(e.ctx)
	if err != nil {
		return err
	}
	err = e.out.writeResult(report, func(w io.Writer) { _ = report.WriteTable(w) })
	if err == nil && !report.Check.OK() {
		return errCheckFailed
	}
	return err
}

func (c *measureCommand) measure(ctx context.Context) (measure.Report, error) {
	d, err := measure.DeploymentByName(c.Deployment)
	if err != nil {
		return measure.Report{}, err
	}
	sys, err := local.Start(ctx, d, c.Policy, zerolog.Nop())
	if err != nil {
		return measure.Report{}, errors.Wrap(err, "start the deployment")
	}
	defer func() { _ = sys.Close() }()
	return measure.Run(ctx, c.Scenario, sys, measure.Options{
		Deployment: d,
		Policy:     c.Policy,
		Seed:       c.Seed,
		PhaseUnit:  c.Unit,
	})
}
