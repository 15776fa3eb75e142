package soak

import (
	"testing"

	. "github.com/onsi/gomega"
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
