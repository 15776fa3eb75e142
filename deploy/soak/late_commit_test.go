package soak

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// Guards against a commit of a replaced primary that is not reported, is reported by the wrong
// reading, or although its successor had committed nothing yet.
func TestLateCommitsAreReportedByBothFirstBytes(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	at := func(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }
	for name, test := range map[string]struct {
		sent int
		// successorCommits is true if the successor has a commit with a statement.
		successorCommits bool
		prefix           string
	}{
		"sent before the successor's commit": {1, true, "REPLACED by the endpoint's answer: old"},
		"sent after the successor's commit":  {4, true, "REPLACED by the caller's first byte and the endpoint's answer: old"},
		"no commit of the successor":         {1, false, ""},
	} {
		g := NewWithT(t)
		database := newGroup("g", 2)
		old, successor := database.endpoints[0], database.endpoints[1]
		database.term = 2
		successor.primary, successor.term = true, 2
		successor.log = []commit{{position: logpos.Position{Term: 2, Offset: 1}, committedAt: at(2)}}
		if test.successorCommits {
			successor.log = append(successor.log, commit{position: logpos.Position{Term: 2, Offset: 2}, ids: []string{"new"}, committedAt: at(3)})
		}
		database.commit(old, []string{"old"}, nil)
		committedAt := database.lateCommits[0].committedAt
		database.executions = []execution{
			{id: "later", endpoint: successor.id, logEnd: successor.logEnd(), beganAt: committedAt.Add(time.Second)},
			{id: "sent before", endpoint: successor.id, logEnd: successor.logEnd(), beganAt: committedAt.Add(time.Second)},
			{id: "earlier", endpoint: successor.id, logEnd: successor.logEnd(), beganAt: at(5)},
			{id: "replica read", endpoint: successor.id, logEnd: successor.logEnd(), beganAt: committedAt.Add(time.Second)},
		}
		r := &recorder{sent: map[string]time.Time{"old": at(test.sent), "later": committedAt.Add(time.Second), "sent before": at(5), "earlier": at(5)}}
		out := r.describeLateCommits(database)
		if test.prefix == "" {
			g.Expect(out).To(BeEmpty(), name)
			continue
		}
		g.Expect(out).To(ConsistOf(And(HavePrefix(test.prefix), ContainSubstring("1 later statements at other primaries lack it by the caller's first byte, 2 by"))), name)
	}
}
