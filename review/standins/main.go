// Command review-standins runs one case of the review: it starts the project's daemons as
// processes, with stand-ins for clients, servers and the platform, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 110 * time.Second

// cases maps the names of the cases to the functions that run them. trouble is false if the
// disruption is left out.
var cases = map[string]func(rec *record, trouble bool) error{
	"new-members":    newMembers,
	"old-samples":    oldSamples,
	"late-promotion": latePromotion,
	"sync-replicas":  syncReplicas,
	"line-feed":      lineFeed,
}

// current is the deployment that the running case has started.
var current *deployment

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins CASE FOLDER")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	result := make(chan error, 1)
	go func() { result <- cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-result:
	case <-stopped:
		err = fmt.Errorf("stopped by a signal")
	case <-time.After(caseTimeout):
		err = fmt.Errorf("not done within %s", caseTimeout)
	}
	if current != nil {
		current.end()
	}
	os.Exit(conclude(rec, err))
}

// conclude prints the result and returns the exit code.
func conclude(rec *record, err error) int {
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case len(rec.violations) > 0:
		fmt.Printf("the rule was broken; first: %s\n", rec.violations[0])
		return exitBroken
	}
	rec.line("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
