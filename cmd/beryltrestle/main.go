// Command beryltrestle is the operators' command line.
package main

import (
	"os"

	"github.com/beryltrestle/beryltrestle/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
