package cli

import (
	"fmt"
	"io"
)

// checkCommand checks a manifest file.
type checkCommand struct {
	manifestFile
}

// checkResult is the result of a check without findings.
type checkResult struct {
	Valid      bool   `json:"valid"`
	Deployment string `json:"deployment"`
	Hosts      int    `json:"hosts"`
	Pools      int    `json:"pools"`
}

// Run checks the file.
func (c *checkCommand) Run(e *environment) error {
	doc, err := c.load(e)
	if err != nil {
		return err
	}
	r := checkResult{Valid: true, Deployment: doc.Deployment, Hosts: len(doc.Hosts), Pools: len(doc.Pools)}
	return e.out.writeResult(r, func(w io.Writer) {
		fmt.Fprintf(w, "manifest of %s is valid: %d hosts, %d pools\n", r.Deployment, r.Hosts, r.Pools)
	})
}
