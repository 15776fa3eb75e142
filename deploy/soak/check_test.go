package soak

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// Guards against a read that counts as stale because a write of unknown outcome was
// committed after the caller's next write (seed 9103), and against a stale read that is
// accepted because some write has an unknown outcome.
func TestStaleReadsAreToldFromLateWrites(t *testing.T) {
	start := time.Now()
	acknowledged := write{id: "w2", item: "c1", value: 2, acknowledged: start}
	late := write{id: "w1", item: "c1", value: 1}
	early := write{id: "w1", item: "c1", value: 1, acknowledged: start.Add(-time.Second)}
	refused := write{id: "w1", item: "c1", value: 1, refused: true}
	for name, test := range map[string]struct {
		lower write
		// log lists the committed statements in their order.
		log   []string
		fresh bool
	}{
		"unknown outcome, committed after the acknowledged write":  {late, []string{"w2", "w1"}, true},
		"unknown outcome, committed before the acknowledged write": {late, []string{"w1", "w2"}, false},
		"unknown outcome, not in the log of the primary":           {late, []string{"w2"}, false},
		"acknowledged before": {early, []string{"w1", "w2"}, false},
		"refused, and committed after the acknowledged write": {refused, []string{"w2", "w1"}, false},
	} {
		g := NewWithT(t)
		database := newGroup("g", 1)
		for at, id := range test.log {
			database.endpoints[0].log = append(database.endpoints[0].log, commit{position: logpos.Position{Term: 1, Offset: uint64(at + 1)}, ids: []string{id}})
		}
		r := &recorder{writes: []write{test.lower, acknowledged}, reads: []read{{id: "r", item: "c1", value: 1, freshAt: start.Add(time.Second)}}}
		violations := r.check(database)
		if test.fresh {
			g.Expect(violations).To(BeEmpty(), name)
		} else {
			g.Expect(violations).To(ContainElement(HavePrefix("STALE")), name)
		}
	}
}

// Guards against a judge that misses a statement which reached a replaced primary late, takes a
// later commit for an earlier one, or counts commits that a replaced primary made.
func TestExecutionsAreJudgedByBothFirstBytes(t *testing.T) {
	start := time.Now()
	at := func(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }
	for name, test := range map[string]struct {
		sent, began int
		// byOldPrimary marks the commit as one that a replaced primary made.
		byOldPrimary bool
		violations   int
	}{
		"before the commit":                   {1, 2, false, 0},
		"sent before and received after":      {1, 4, false, 1},
		"sent after the commit":               {4, 5, false, 2},
		"commit of a replaced primary":        {4, 5, true, 0},
		"received as the commit was answered": {1, 3, false, 0},
	} {
		database := newGroup("g", 1)
		database.endpoints[0].log = []commit{
			{position: logpos.Position{Term: 1, Offset: 1}, ids: []string{"w1"}, committedAt: at(0)},
			{position: logpos.Position{Term: 2, Offset: 2}, committedAt: at(1)},
			{position: logpos.Position{Term: 2, Offset: 3}, ids: []string{"w2"}, committedAt: at(3)},
		}
		database.committedByOldPrimary["w2"] = test.byOldPrimary
		database.executions = []execution{{id: "x", logEnd: logpos.Position{Term: 1, Offset: 1}, receivedAt: at(9), beganAt: at(test.began)}}
		r := &recorder{sent: map[string]time.Time{"x": at(test.sent)}}
		NewWithT(t).Expect(r.checkExecutions(database)).To(HaveLen(test.violations), name)
	}
}
