// Package cli implements the operators' command line.
package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Main runs one command and returns the exit code: 0 success, 1 failure, 2
// findings or wrong usage, 3 conflict with another operator's change, 4 unknown
// outcome.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var c commands
	exited := -1
	parser, err := kong.New(&c,
		kong.Name("beryltrestle"),
		kong.Description("Operates the beryltrestle database proxy."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exited = code }),
	)
	if err != nil {
		fmt.Fprintln(stderr, "beryltrestle:", err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintln(stderr, "beryltrestle:", err)
		return exitFindings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	e := &environment{ctx: ctx, stdin: stdin, out: printer{w: stdout, json: c.Output == "json"}}
	if err := parsed.Run(e); err != nil {
		e.out.reportError(stderr, err)
		return exitCode(err)
	}
	return exitDone
}
