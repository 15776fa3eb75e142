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
