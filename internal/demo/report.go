package demo

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/history"
)

// Report is the result of a demo.
type Report struct {
	Operations   int     `json:"operations"`
	Confirmed    int     `json:"confirmed_bookings"`
	Lost         int     `json:"lost_bookings"`
	MadeTwice    int     `json:"bookings_made_twice"`
	NotRun       int     `json:"not_run"`
	Unknown      int     `json:"unknown"`
	ReplicaShare float64 `json:"replica_share_percent"`
	// FailoverGap is the longest time between two confirmed bookings after the primary
	// was cut off.
	FailoverGap time.Duration `json:"failover_gap_ns"`
	// ManifestDelay is the time from applying a manifest until every daemon uses it.
	ManifestDelay time.Duration       `json:"manifest_in_force_ns"`
	Refusals      map[string]int      `json:"refusals"`
	Violations    []history.Violation `json:"violations"`
}

// OK reports whether every guarantee held.
func (r *Report) OK() bool { return len(r.Violations) == 0 }

// Write prints the report as a table.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(t, "%s\t%v\n", name, value) }
	row("operations", r.Operations)
	row("confirmed bookings", r.Confirmed)
	row("lost bookings", r.Lost)
	row("bookings made twice", r.MadeTwice)
	row("reported as not run", r.NotRun)
	row("reported as unknown", r.Unknown)
	row("lookups served by replicas", fmt.Sprintf("%.1f%%", r.ReplicaShare))
	row("failover gap", r.FailoverGap.Round(time.Millisecond))
	row("manifest in force everywhere", r.ManifestDelay.Round(time.Millisecond))
	for _, reason := range sortedKeys(r.Refusals) {
		row(reason, r.Refusals[reason])
	}
	row("broken guarantees", len(r.Violations))
	for _, v := range r.Violations {
		row("", v)
	}
	return t.Flush()
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
