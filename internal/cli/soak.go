package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/deploy/soak"
)

// errViolations reports that a guarantee was violated under some seed.
var errViolations = errors.New("a guarantee was violated; the logs of the hosts are kept")

// soakCommand runs hosts as processes under random faults.
type soakCommand struct {
	Daemon  string  `required:"" placeholder:"FILE" help:"Path of the daemon program (beryltrestled)."`
	Seed    uint64  `help:"First seed." default:"1"`
	Seeds   int     `help:"Number of seeds, one after the other." default:"1"`
	Minutes float64 `help:"Minutes of faults for each seed." default:"1"`
	Hosts   int     `help:"Number of hosts." default:"7"`
	Callers int     `help:"Number of callers." default:"20"`
	Dir     string  `help:"Directory for settings and logs; a new temporary one by default." placeholder:"DIR"`
	Verbose bool    `help:"Log each fault."`
}

// Run runs the seeds one after the other and prints a line for each.
func (c *soakCommand) Run(e *environment) error {
	dir := c.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "beryltrestle-soak-"); err != nil {
			return err
		}
	}
	log := zerolog.Nop()
	if c.Verbose {
		log = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	failedSeeds := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		seedDir := filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(seedDir, 0o755); err != nil {
			return err
		}
		report, err := soak.Run(e.ctx, soak.Config{
			DaemonPath: c.Daemon, Dir: seedDir, Hosts: c.Hosts, Callers: c.Callers, Seed: seed, Log: log,
			FaultDuration: time.Duration(c.Minutes * float64(time.Minute)), StallGrace: soak.ProofGrace,
		})
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		if err := e.out.writeResult(report, func(w io.Writer) { fmt.Fprintln(w, report, seedDir) }); err != nil {
			return err
		}
		if len(report.Violations) > 0 {
			failedSeeds++
			continue
		}
		if err := os.RemoveAll(seedDir); err != nil {
			return err
		}
	}
	if failedSeeds > 0 {
		return errViolations
	}
	return nil
}
