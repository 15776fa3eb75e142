package manifest

import (
	"fmt"
	"strings"
)

// Action is the kind of a Change.
type Action string

// Actions of a Change.
const (
	ActionAdded   Action = "added"
	ActionRemoved Action = "removed"
	ActionChanged Action = "changed"
)

// Change is one difference between two manifests.
type Change struct {
	Action Action `json:"action"`
	// Subject is "document", "host", "pool" or "endpoint".
	Subject string `json:"subject"`
	// Pool is the endpoint's pool; empty for other subjects.
	Pool string `json:"pool,omitempty"`
	Name string `json:"name"`
	// Fields holds the fields that differ if Action is ActionChanged.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one field that differs, with its JSON before and after.
type FieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String formats the change on one line.
func (c Change) String() string {
	name := c.Name
	if c.Pool != "" {
		name = c.Pool + "/" + c.Name
	}
	fields := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		fields[i] = fmt.Sprintf("%s: %s -> %s", f.Field, f.Before, f.After)
	}
	return strings.TrimSpace(fmt.Sprintf("%s %s %s %s", c.Action, c.Subject, name, strings.Join(fields, ", ")))
}
