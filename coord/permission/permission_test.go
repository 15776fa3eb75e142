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
	g.Expect(permission.Until(ago(5)[0], withSelf(answered)).Before(now)).To(BeTrue())
	// 7 others of 13 make a majority of 14 together with the host itself.
	answered = ago(0.1, 0.1, 0.2, 0.3, 0.3, 0.4, 0.5, 6, 6, 6, 6, 6, 6)
	g.Expect(permission.Until(ago(5)[0], withSelf(answered))).To(Equal(now.Add(permission.Duration - 500*time.Millisecond)))
}

// Guards against a host that loses its permission because the other hosts fail, although
// it still reads the claims from the store.
func TestClaimsFromTheStoreSuffice(t *testing.T) {
	g := NewWithT(t)
	g.Expect(permission.Until(ago(0.4)[0], withSelf(ago(9, 9, 9)))).To(Equal(now.Add(permission.Duration - 400*time.Millisecond)))
}

// Guards against a host that has just started and counts itself as a majority.
func TestNothingKnownGivesNoPermission(t *testing.T) {
	g := NewWithT(t)
	g.Expect(permission.Until(time.Time{}, withSelf(nil))).To(BeZero())
	g.Expect(permission.Until(time.Time{}, withSelf(make([]time.Time, 3))).Before(now)).To(BeTrue())
}

// Guards against a majority that consists of too few hosts: of only one set while the
// electorate changes, or with a host that has restarted and counts itself although it does
// not know what it acknowledged before.
func TestEachSetNeedsAMajority(t *testing.T) {
	g := NewWithT(t)
	recent, old := ago(0.1, 0.2, 9, 9), ago(0.3, 9, 9, 9)
	g.Expect(permission.Until(time.Time{}, withSelf(recent))).To(Equal(now.Add(permission.Duration - 200*time.Millisecond)))
	g.Expect(permission.Until(time.Time{}, withSelf(recent), withSelf(old)).Before(now)).To(BeTrue())
	g.Expect(permission.Until(time.Time{}, permission.Voters{Answered: ago(0.1, 0.2, 9, 9, 9)}).Before(now)).To(BeTrue())
	g.Expect(permission.Until(time.Time{}, permission.Voters{Answered: ago(0.1, 0.2, 0.4, 9, 9)})).To(Equal(now.Add(permission.Duration - 400*time.Millisecond)))
	g.Expect(permission.Until(time.Time{})).To(BeZero())
}
