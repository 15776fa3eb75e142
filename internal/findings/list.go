package findings

import (
	"fmt"
	"strings"
)

// List is a list of findings. A non-empty list is an error.
type List []Finding

// maxErrorLines limits the findings in an error message, as a manifest has
// thousands of hosts.
const maxErrorLines = 20

// Error implements error. It returns one line for each of the first
// maxErrorLines findings.
func (l List) Error() string {
	lines := make([]string, min(len(l), maxErrorLines))
	for i := range lines {
		lines[i] = l[i].String()
	}
	if more := len(l) - len(lines); more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more findings", more))
	}
	return strings.Join(lines, "\n")
}

// Err returns nil for an empty list, otherwise the list.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Add appends a finding. problem is a format string for args.
func (l *List) Add(pointer, remedy, problem string, args ...any) {
	*l = append(*l, Finding{Pointer: pointer, Problem: fmt.Sprintf(problem, args...), Remedy: remedy})
}

// CheckRange adds a finding unless v is from low to high.
func (l *List) CheckRange(pointer string, v, low, high int) {
	if v >= low && v <= high {
		return
	}
	l.Add(pointer, fmt.Sprintf("use a value from %d to %d", low, high), "value %d is out of range", v)
}

// CheckRequired adds a finding if the string is empty.
func (l *List) CheckRequired(pointer, v string) {
	if v == "" {
		l.Add(pointer, "set it", "value is missing or empty")
	}
}

// Merge returns l and the findings of more, except those for values that
// already have a finding in l. A value that could not be decoded keeps its zero
// value, which must not be reported as a second problem.
func (l List) Merge(more List) List {
	merged := append(List(nil), l...)
	for _, f := range more {
		if !l.hasFindingAt(f.Pointer) {
			merged = append(merged, f)
		}
	}
	return merged
}

// hasFindingAt reports whether there is a finding for the pointer or for a
// value that contains it.
func (l List) hasFindingAt(pointer string) bool {
	for _, f := range l {
		if pointer == f.Pointer || f.Pointer != "" && strings.HasPrefix(pointer, f.Pointer+"/") {
			return true
		}
	}
	return false
}
