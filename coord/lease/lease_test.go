package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/lease"
)

// Guards against a lease that is based on a minority, or on the newest instead of the
// oldest answer of a majority.
func TestStartIsTheOldestOfTheNewestMajority(t *testing.T) {
	g := NewWithT(t)
	t0 := time.Unix(100, 0)
	endpoints := []string{"a", "b", "c"}
	l := lease.New()
	l.Observe("a", t0.Add(300*time.Millisecond))
	l.Observe("gone", t0.Add(300*time.Millisecond))
	g.Expect(l.Start(endpoints)).To(BeZero())

	l.Observe("b", t0.Add(100*time.Millisecond))
	l.Observe("b", t0)
	g.Expect(l.Start(endpoints)).To(Equal(t0.Add(100 * time.Millisecond)))
	g.Expect(l.Valid(endpoints, t0.Add(1099*time.Millisecond))).To(BeTrue())
	g.Expect(l.Valid(endpoints, t0.Add(1100*time.Millisecond))).To(BeFalse())
}
