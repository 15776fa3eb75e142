package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/permission"
)

// Guards against a ranking of all hosts on every tick, and against an answer that
// differs from the one with the rank.
func TestRankIsAskedOnlyIfItDecides(t *testing.T) {
	g := NewWithT(t)
	for _, p := range []patience{claimsPatience, feedPatience} {
		for rank := range 40 {
			for age := time.Duration(0); age < 3*time.Second; age += 50 * time.Millisecond {
				asked := false
				due := p.due(age, func() int { asked = true; return rank })
				g.Expect(due).To(Equal(age >= p.of(rank)))
				if age < p.first || age >= p.most {
					g.Expect(asked).To(BeFalse())
				}
			}
		}
	}
}

// Guards against hosts that read the claims although the answers of a majority have
// just renewed their permission: 120 of the 484 calls of a quiet day of svfb-trestle.
func TestFreshPermissionSparesReadsOfTheClaims(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	due := func(host string, claimsAge, permissionAge time.Duration) bool {
		c := newControl(&Gateway{cfg: Config{Host: host}})
		for _, name := range []string{"h1", "h2", "h3"} {
			if name != host {
				c.members[name] = &member{hostRecord: hostRecord{Name: name}}
			}
		}
		c.asOf[TableState] = now.Add(-claimsAge)
		c.permitted = now.Add(permission.Duration - permissionAge)
		return c.claimsDue(now)
	}
	readers, old, fresh := 0, 0, 0
	for _, host := range []string{"h1", "h2", "h3"} {
		for _, c := range []struct {
			claims, permission time.Duration
			count              *int
		}{{500 * time.Millisecond, 0, &readers}, {2 * time.Second, 0, &fresh}, {2 * time.Second, readPatienceMax, &old}} {
			if due(host, c.claims, c.permission) {
				*c.count++
			}
		}
	}
	g.Expect(readers).To(Equal(1))
	g.Expect(fresh).To(Equal(1))
	g.Expect(old).To(Equal(3))
}
