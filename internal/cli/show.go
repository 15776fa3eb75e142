package cli

import (
	"fmt"
	"io"
	"strconv"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/manifeststore"
)

// showCommand shows the manifest in force.
type showCommand struct {
	platformFlags
	Document bool `help:"Print only the manifest, as JSON that can be edited and applied."`
}

// showResult is the JSON form of the manifest in force.
type showResult struct {
	Generation uint64                `json:"generation"`
	ApplyID    string                `json:"apply_id"`
	Operator   string                `json:"operator"`
	Root       string                `json:"root"`
	History    []manifest.Acceptance `json:"history"`
	Manifest   *manifest.Document    `json:"manifest"`
}

// Run shows the manifest.
func (c *showCommand) Run(e *environment) error {
	accepted, err := c.store().Load(e.ctx)
	if err != nil {
		return err
	}
	if c.Document {
		return printer{w: e.out.w, json: true}.writeResult(accepted.Document, nil)
	}
	s := showResult{
		Generation: accepted.Record.Generation,
		ApplyID:    accepted.Record.ApplyID,
		Operator:   accepted.Record.Operator,
		Root:       accepted.Record.Root,
		History:    accepted.History,
		Manifest:   accepted.Document,
	}
	return e.out.writeResult(s, func(w io.Writer) { printAccepted(w, accepted) })
}

// printAccepted writes a summary of the manifest and its endpoints.
func printAccepted(w io.Writer, a *manifeststore.Accepted) {
	fmt.Fprintf(w, "deployment %s, generation %d, applied by %s (apply %s), %d hosts\n\n",
		a.Document.Deployment, a.Record.Generation, a.Record.Operator, a.Record.ApplyID, len(a.Document.Hosts))
	var rows [][]string
	for _, p := range a.Document.Pools {
		for _, ep := range p.Endpoints {
			rows = append(rows, endpointRow(p.Name, ep))
		}
	}
	printTable(w, []string{"POOL", "ENDPOINT", "ADDRESS", "ZONE", "SLOTS", "CONNECTIONS", "LEAVING"}, rows)
}

func endpointRow(pool string, e manifest.Endpoint) []string {
	leaving := ""
	if e.Leaving {
		leaving = "leaving"
	}
	return []string{pool, e.Name, e.Address, e.AvailabilityZone, strconv.Itoa(e.Slots), strconv.Itoa(e.Connections), leaving}
}
