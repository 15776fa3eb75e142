package permission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/permission"
)

var now = time.Unix(1000, 0)

func ago(seconds ...float64) []time.Time {
	out := make([]time.Time, len(seconds))
	for i, s := range seconds {
		out[i] = now.Add(-time.Duration(s * float64(time.Second)))
	}
	return out
}

// withSelf returns the voters of a set that includes this host.
func withSelf(answered []time.Time) permission.Voters {
	return permission.Voters{Self: true, Answered: answered}
}

// Guards against hosts on the minority side of a network partition that still use a
// primary that the majority replaces (seen in lindqvist-vev scale-1: 69 writes were
// confirmed at the old primary).
func TestMinorityHasNoPermission(t *testing.T) {
	g := NewWithT(t)
	// 4 of 14 hosts still answer; the store was read 5 s ago.
	answered := ago(0.1, 0.1, 0.2, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6)
	g.Expect(permission.Until(ago(5)[0], ago(5)[0], withSelf(answered)).Before(now)).To(BeTrue())
	// 7 others of 13 make a majority of 14 together with the host itself.
	answered = ago(0.1, 0.1, 0.2, 0.3, 0.3, 0.4, 0.5, 6, 6, 6, 6, 6, 6)
	g.Expect(permission.Until(ago(5)[0], ago(5)[0], withSelf(answered))).To(Equal(now.Add(permission.Duration - 500*time.Millisecond)))
}

// Guards against a host that loses its permission because the other hosts fail, although
// it still reads the claims from the store.
func TestClaimsFromTheStoreSuffice(t *testing.T) {
	g := NewWithT(t)
	g.Expect(permission.Until(ago(0.4)[0], ago(0.4)[0], withSelf(ago(9, 9, 9)))).To(Equal(now.Add(permission.Duration - 400*time.Millisecond)))
}

// Guards against a host that has just started and counts itself as a majority.
func TestNothingKnownGivesNoPermission(t *testing.T) {
	g := NewWithT(t)
	g.Expect(permission.Until(time.Time{}, ago(5)[0], withSelf(nil))).To(BeZero())
	g.Expect(permission.Until(time.Time{}, time.Time{}, withSelf(ago(0.1, 0.1)))).To(BeZero())
	g.Expect(permission.Until(time.Time{}, ago(5)[0], withSelf(make([]time.Time, 3))).Before(now)).To(BeTrue())
}

// Guards against a majority that consists of too few hosts: of only one set while the
// electorate changes, or with a host that has restarted and counts itself although it does
// not know what it acknowledged before.
func TestEachSetNeedsAMajority(t *testing.T) {
	g := NewWithT(t)
	recent, old := ago(0.1, 0.2, 9, 9), ago(0.3, 9, 9, 9)
	g.Expect(permission.Until(time.Time{}, ago(5)[0], withSelf(recent))).To(Equal(now.Add(permission.Duration - 200*time.Millisecond)))
	g.Expect(permission.Until(time.Time{}, ago(5)[0], withSelf(recent), withSelf(old)).Before(now)).To(BeTrue())
	g.Expect(permission.Until(time.Time{}, ago(5)[0], permission.Voters{Answered: ago(0.1, 0.2, 9, 9, 9)}).Before(now)).To(BeTrue())
	g.Expect(permission.Until(time.Time{}, ago(5)[0], permission.Voters{Answered: ago(0.1, 0.2, 0.4, 9, 9)})).To(Equal(now.Add(permission.Duration - 400*time.Millisecond)))
	g.Expect(permission.Until(time.Time{}, ago(5)[0])).To(BeZero())
}

// Guards against voters that are cut off together and renew each other's permission without end, so that
// nobody can tell them from voters that are lost for good (review case 10), and against an outage of
// the store that ends the service of a fleet in which nearly all hosts answer.
func TestAnswersExpireAfterTheLastReadOfTheStore(t *testing.T) {
	g := NewWithT(t)
	// Eight voters with this host, and a second set of two.
	majority, nearlyAll := ago(0.1, 0.1, 0.1, 0.1, 9, 9, 9), ago(0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 9)
	until := func(stored time.Duration, answered []time.Time) time.Duration {
		return permission.Until(time.Time{}, now.Add(-stored), withSelf(answered), withSelf(ago(0.1))).Sub(now)
	}
	full := permission.Duration - 100*time.Millisecond
	g.Expect(until(permission.MajorityHorizon-permission.Duration, majority)).To(Equal(full))
	g.Expect(until(permission.MajorityHorizon-time.Second, majority)).To(Equal(time.Second))
	g.Expect(until(permission.MajorityHorizon, majority)).To(BeZero())
	g.Expect(until(permission.MajorityHorizon, nearlyAll)).To(Equal(full))
	g.Expect(until(permission.FullHorizon, nearlyAll)).To(BeZero())
	g.Expect(permission.Horizon(8, 1)).To(BeNumerically(">", permission.FullHorizon))
	g.Expect(permission.Horizon(8, 2)).To(And(BeNumerically(">", permission.MajorityHorizon), BeNumerically("<", permission.FullHorizon)))
	g.Expect(permission.Horizon(7, 1)).To(BeNumerically("<", permission.FullHorizon))
}
