package soak

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// Guards against stand-ins that let a replaced primary lead again once its successor has left, so
// that replicas lose commits of the successor and a term is given twice (seed 42003 of a trial).
func TestReplacedPrimaryDoesNotLeadAfterItsSuccessorLeft(t *testing.T) {
	g := NewWithT(t)
	database := newGroup("g", 3)
	old, successor, replica := database.endpoints[0], database.endpoints[1], database.endpoints[2]
	database.stall(old)
	g.Expect(database.promote(successor.id, "h", 1)).To(BeTrue())
	database.replicate()
	database.leave(successor, true)
	g.Expect(database.primary()).To(BeNil())
	database.replicate()
	g.Expect(database.promote(replica.id, "h", 2)).To(BeTrue())
	g.Expect(database.primary()).To(Equal(replica))
	g.Expect(replica.term).To(Equal(uint64(3)))
	database.restart(successor)
	g.Expect(successor.down).To(BeTrue(), "an endpoint that has left does not start again")
}

// Guards against a judge that counts a commit which a promotion rolled back as one that later
// statements must see, because an endpoint that still had it was promoted next (seed 42208).
func TestCommitThatComesBackCountsAsRolledBack(t *testing.T) {
	g := NewWithT(t)
	database := newGroup("g", 3)
	old, successor := database.endpoints[0], database.endpoints[1]
	database.commit(old, []string{"w"}, map[string]string{"a": "1"})
	database.crash(old)
	g.Expect(database.promote(successor.id, "h", 1)).To(BeTrue())
	database.restart(old)
	database.crash(successor)
	g.Expect(database.promote(old.id, "h", 2)).To(BeTrue())
	g.Expect(database.rolledBack).To(HaveKey("w"))
	g.Expect(old.log[0].ids).To(Equal([]string{"w"}))
	r := &recorder{sent: map[string]time.Time{"read": time.Now()}}
	database.executions = []execution{{id: "read", logEnd: logpos.Position{Term: 1}, beganAt: time.Now()}}
	g.Expect(r.checkExecutions(database)).To(BeEmpty())
}
