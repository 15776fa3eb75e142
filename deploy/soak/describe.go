package soak

import (
	"fmt"
	"slices"
	"time"
)

// describeExecution describes the last execution of the statement; empty if there is none. g.mu must
// be held.
func (g *group) describeExecution(id string) string {
	for _, x := range slices.Backward(g.executions) {
		if x.id == id {
			return fmt.Sprintf(" (executed at %s at %s on a log up to %s%s)", x.endpoint, x.receivedAt.Format(time.StampMilli), formatPosition(x.logEnd), x.delay())
		}
	}
	return ""
}

// describeCommit describes the commit of the statement in each log that has it. g.mu must be held.
func (g *group) describeCommit(id string) (out string) {
	for _, e := range slices.Concat(g.endpoints, g.former) {
		for _, c := range e.log {
			if slices.Contains(c.ids, id) {
				out += fmt.Sprintf("; in the log of %s as %s of %s", e.id, formatPosition(c.position), c.committedAt.Format(time.StampMilli))
			}
		}
	}
	return out
}
