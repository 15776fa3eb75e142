package cli

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/findings"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/manifeststore"
)

// errorReport is the JSON form of an error.
type errorReport struct {
	Error    string          `json:"error"`
	ExitCode int             `json:"exit_code"`
	Findings findings.List   `json:"findings,omitempty"`
	Conflict *conflictReport `json:"conflict,omitempty"`
	// ApplyID identifies an apply whose outcome is unknown.
	ApplyID string `json:"apply_id,omitempty"`
}

// conflictReport is the JSON form of a conflict with another operator's change.
type conflictReport struct {
	Base         uint64            `json:"base"`
	Generation   uint64            `json:"generation"`
	Operator     string            `json:"operator"`
	ApplyID      string            `json:"apply_id"`
	BaseKnown    bool              `json:"base_known"`
	TheirChanges []manifest.Change `json:"their_changes"`
	OurChanges   []manifest.Change `json:"our_changes"`
}

// reportError writes an error, as JSON to standard output or as text to
// standard error.
func (p printer) reportError(stderr io.Writer, err error) {
	report := newErrorReport(err)
	if p.json {
		_ = p.writeResult(report, nil) // There is no other place to report to.
		return
	}
	switch {
	case report.Findings != nil:
		printFindings(stderr, report.Findings)
	case report.Conflict != nil:
		fmt.Fprintln(stderr, "beryltrestle:", report.Error)
		printConflict(stderr, report.Conflict)
	case report.ExitCode == exitUnknown:
		fmt.Fprintln(stderr, "beryltrestle:", report.Error)
		fmt.Fprintln(stderr, "run the same command again: it reports done if the manifest is in force, and applies it otherwise")
	default:
		fmt.Fprintln(stderr, "beryltrestle:", report.Error)
	}
}

// newErrorReport returns the JSON form of an error.
func newErrorReport(err error) errorReport {
	report := errorReport{Error: err.Error(), ExitCode: exitCode(err)}
	var list findings.List
	if errors.As(err, &list) {
		report.Error = fmt.Sprintf("%d findings", len(list))
		report.Findings = list
	}
	var unknown *manifeststore.UnknownOutcomeError
	if errors.As(err, &unknown) {
		report.ApplyID = unknown.ApplyID
	}
	var conflict *manifeststore.ConflictError
	if errors.As(err, &conflict) {
		report.Conflict = &conflictReport{
			Base:         conflict.Base,
			Generation:   conflict.Theirs.Generation,
			Operator:     conflict.Theirs.Operator,
			ApplyID:      conflict.Theirs.ApplyID,
			BaseKnown:    conflict.BaseKnown,
			TheirChanges: conflict.TheirChanges,
			OurChanges:   conflict.OurChanges,
		}
	}
	return report
}

// printFindings writes a table of findings.
func printFindings(w io.Writer, list findings.List) {
	rows := make([][]string, len(list))
	for i, f := range list {
		rows[i] = []string{f.Pointer, f.Problem, f.Remedy}
	}
	printTable(w, []string{"POINTER", "PROBLEM", "REMEDY"}, rows)
}

// printConflict writes the changes of both sides of a conflict.
func printConflict(w io.Writer, c *conflictReport) {
	if c.BaseKnown {
		fmt.Fprintf(w, "\nchanges since generation %d:\n", c.Base)
		printChanges(w, c.TheirChanges)
	}
	fmt.Fprintf(w, "\nan apply over generation %d would make these changes:\n", c.Generation)
	printChanges(w, c.OurChanges)
}

// printChanges writes one line for each change.
func printChanges(w io.Writer, changes []manifest.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "no changes")
	}
	for _, c := range changes {
		fmt.Fprintln(w, c)
	}
}
