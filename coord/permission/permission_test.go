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

// Guards against the minority side of a network split that goes on using a
// primary which the majority replaces (lindqvist-vev scale-1: 69 writes confirmed
// at the old primary).
func TestMinorityHasNoPermission(t *testing.T) {
	g := NewWithT(t)
	// 4 of 14 hosts still answer; the store was read 5 s ago.
	answered := ago(0.1, 0.1, 0.2, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6)
	g.Expect(permission.Until(ago(5)[0], answered).Before(now)).To(BeTrue())
	// 7 others of 13 make a majority of 14 together with the host itself.
	answered = ago(0.1, 0.1, 0.2, 0.3, 0.3, 0.4, 0.5, 6, 6, 6, 6, 6, 6)
	g.Expect(permission.Until(ago(5)[0], answered)).To(Equal(now.Add(permission.Duration - 500*time.Millisecond)))
}

// Guards against an outage of the other hosts that stops a host which still reads
// the store.
func TestClaimsFromTheStoreSuffice(t *testing.T) {
	g := NewWithT(t)
	g.Expect(permission.Until(ago(0.4)[0], ago(9, 9, 9))).To(Equal(now.Add(permission.Duration - 400*time.Millisecond)))
}

// Guards against a host that has just started and takes its own voice for a
// majority.
func TestNothingKnownGivesNoPermission(t *testing.T) {
	g := NewWithT(t)
	g.Expect(permission.Until(time.Time{}, nil)).To(BeZero())
	g.Expect(permission.Until(time.Time{}, make([]time.Time, 3)).Before(now)).To(BeTrue())
}
