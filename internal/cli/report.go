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
	// ApplyID identifies an apply whose outcome is not known.
	ApplyID string `json:"apply_id,omitempty"`
}

// conflictReport is the JSON form of another operator's change.
type conflictReport struct {
	Base         uint64            `json:"base"`
	Generation   uint64            `json:"generation"`
	Operator     string            `json:"operator"`
	ApplyID      string            `json:"apply_id"`
	BaseKnown    bool              `json:"base_known"`
	TheirChanges []manifest.Change `json:"their_changes"`
	OurChanges   []manifest.Change `json:"our_changes"`
}

// reportError writes an error: JSON to standard output, text to standard error.
func (p printer) reportError(stderr io.Writer, err error) {
	f := newErrorReport(err)
	if p.json {
		_ = p.result(f, nil) // There is no other place to report to.
		return
	}
	switch {
	case f.Findings != nil:
		printFindings(stderr, f.Findings)
	case f.Conflict != nil:
		fmt.Fprintln(stderr, "beryltrestle:", f.Error)
		printConflict(stderr, f.Conflict)
	case f.ExitCode == exitUnknown:
		fmt.Fprintln(stderr, "beryltrestle:", f.Error)
		fmt.Fprintln(stderr, "run the same command again: it reports done if the manifest is in force, and applies it otherwise")
	default:
		fmt.Fprintln(stderr, "beryltrestle:", f.Error)
	}
}

// newErrorReport returns the JSON form of an error.
func newErrorReport(err error) errorReport {
	f := errorReport{Error: err.Error(), ExitCode: exitCode(err)}
	var list findings.List
	if errors.As(err, &list) {
		f.Error = fmt.Sprintf("%d findings", len(list))
		f.Findings = list
	}
	var unknown *manifeststore.UnknownOutcomeError
	if errors.As(err, &unknown) {
		f.ApplyID = unknown.ApplyID
	}
	var c *manifeststore.ConflictError
	if errors.As(err, &c) {
		f.Conflict = &conflictReport{
			Base:         c.Base,
			Generation:   c.Theirs.Generation,
			Operator:     c.Theirs.Operator,
			ApplyID:      c.Theirs.ApplyID,
			BaseKnown:    c.BaseKnown,
			TheirChanges: c.TheirChanges,
			OurChanges:   c.OurChanges,
		}
	}
	return f
}

// printFindings writes a table of findings.
func printFindings(w io.Writer, list findings.List) {
	rows := make([][]string, len(list))
	for i, f := range list {
		rows[i] = []string{f.Pointer, f.Problem, f.Remedy}
	}
	printTable(w, []string{"POINTER", "PROBLEM", "REMEDY"}, rows)
}

// printConflict writes both sides of a conflict.
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
