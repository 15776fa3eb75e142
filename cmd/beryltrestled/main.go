// Command beryltrestled is the daemon that runs on each host.
package main

import (
	"os"

	"github.com/beryltrestle/beryltrestle/internal/daemoncmd"
)

func main() {
	os.Exit(daemoncmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
