// Package daemoncmd implements the daemon's command line.
package daemoncmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/internal/daemon"
	"github.com/beryltrestle/beryltrestle/internal/findings"
	"github.com/beryltrestle/beryltrestle/internal/settings"
	"github.com/beryltrestle/beryltrestle/platform"
)

// Exit codes of the daemon.
const (
	exitDone     = 0
	exitFailed   = 1
	exitFindings = 2
)

// command is the daemon's command line.
type command struct {
	Serve    serveCommand `cmd:"" default:"withargs" help:"Serve PostgreSQL callers."`
	Platform struct{}     `cmd:"" help:"Serve on the co-operative's platform with the settings file that the environment names."`
}

// serveCommand has the flags for serving PostgreSQL callers.
type serveCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings file (JSON)."`
	Check    bool   `help:"Check the settings and exit."`
}

// Main runs the daemon and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var c command
	code := -1
	parser, err := kong.New(&c, kong.Name("beryltrestled"),
		kong.Description("Session-consistent proxy in front of replicated databases."),
		kong.Writers(stdout, stderr), kong.Exit(func(n int) { code = n }))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintln(stderr, "beryltrestled:", err)
		return exitFindings
	}
	if parsed.Command() == "platform" {
		return platform.Main(stdout, stderr)
	}
	s, err := settings.Load(c.Serve.Settings)
	if err != nil {
		return reportSettingsError(stderr, err)
	}
	if c.Serve.Check {
		fmt.Fprintln(stdout, "settings are valid")
		return exitDone
	}
	return serve(s, stderr)
}

// reportSettingsError prints all findings, or the error if it is no list of
// findings, and returns the exit code.
func reportSettingsError(w io.Writer, err error) int {
	var list findings.List
	if !errors.As(err, &list) {
		fmt.Fprintln(w, "beryltrestled:", err)
		return exitFailed
	}
	for _, f := range list {
		fmt.Fprintln(w, f)
	}
	return exitFindings
}

// serve runs the daemon until SIGTERM or SIGINT, and drains it then.
func serve(s *settings.Settings, stderr io.Writer) int {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	log := zerolog.New(stderr).Level(level).With().Timestamp().Str("host", s.Name).Logger()
	debug.SetMemoryLimit(int64(s.Limits.MemoryBytes))
	cfg := daemon.Config{Settings: s, Log: log}
	if err := cfg.OpenStores(); err != nil {
		log.Error().Err(err).Msg("platform services are not configured")
		return exitFailed
	}
	d, err := daemon.New(cfg)
	if err != nil {
		log.Error().Err(err).Msg("daemon did not start")
		return exitFailed
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	drained := drainOnSignal(d, time.Duration(s.DrainTimeout), cancel)
	if err := d.Run(ctx); err != nil {
		log.Error().Err(err).Msg("daemon ended")
		return exitFailed
	}
	if err := <-drained; err != nil {
		return exitFailed
	}
	return exitDone
}

// drainOnSignal drains the daemon at the first signal and calls stop
// afterwards. The returned channel receives the result of the drain.
func drainOnSignal(d *daemon.Daemon, timeout time.Duration, stop context.CancelFunc) <-chan error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	drained := make(chan error, 1)
	go func() {
		<-signals
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		drained <- d.Drain(ctx)
		stop()
	}()
	return drained
}
