package findings

import (
	"fmt"
	"strings"
)

// List is a list of findings. A non-empty list is an error.
type List []Finding

// maxLines bounds the findings in an error message; a manifest has thousands of
// hosts.
const maxLines = 20

// Error implements error with one line for each of the first findings.
func (l List) Error() string {
	lines := make([]string, min(len(l), maxLines))
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

// Add appends a finding. The problem is a format for args.
func (l *List) Add(pointer, remedy, problem string, args ...any) {
	*l = append(*l, Finding{Pointer: pointer, Problem: fmt.Sprintf(problem, args...), Remedy: remedy})
}

// Range adds a finding if v is not between low and high.
func (l *List) Range(pointer string, v, low, high int) {
	if v >= low && v <= high {
		return
	}
	l.Add(pointer, fmt.Sprintf("use a value from %d to %d", low, high), "value %d is out of range", v)
}

// Required adds a finding if the string is empty.
func (l *List) Required(pointer, v string) {
	if v == "" {
		l.Add(pointer, "set it", "value is missing or empty")
	}
}

// Merge returns l and those findings of more whose value has no finding in l.
// A value that could not be decoded is left zero, and its zero value is not a
// second problem.
func (l List) Merge(more List) List {
	merged := append(List(nil), l...)
	for _, f := range more {
		if !l.covers(f.Pointer) {
			merged = append(merged, f)
		}
	}
	return merged
}

// covers reports whether the pointer or a value that contains it has a finding
// that left it undecoded.
func (l List) covers(pointer string) bool {
	for _, f := range l {
		if pointer == f.Pointer || f.Pointer != "" && strings.HasPrefix(pointer, f.Pointer+"/") {
			return true
		}
	}
	return false
}
