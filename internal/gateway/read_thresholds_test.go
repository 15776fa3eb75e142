package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/coord/permission"
)

// Guards against ranking all hosts on every tick, and against a result that differs
// from the one with the rank.
func TestRankIsComputedOnlyIfNeeded(t *testing.T) {
	g := NewWithT(t)
	for _, p := range []readThresholds{claimsThresholds, feedThresholds} {
		for rank := range 40 {
			for age := time.Duration(0); age < 3*time.Second; age += 50 * time.Millisecond {
				asked := false
				due := p.due(age, func() int { asked = true; return rank })
				g.Expect(due).To(Equal(age >= p.ageFor(rank)))
				if age < p.readerAge || age >= p.maxAge {
					g.Expect(asked).To(BeFalse())
				}
			}
		}
	}
}

// Guards against hosts that read the claims although answers of a majority have just
// renewed their permission. This caused 120 of 484 store calls in a day with little
// load on svfb-trestle.
func TestRenewedPermissionAvoidsClaimReads(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	due := func(host string, claimsAge, permissionAge time.Duration) bool {
		c := newController(&Gateway{cfg: Config{Host: host}})
		for _, name := range []string{"h1", "h2", "h3"} {
			if name != host {
				c.members[name] = &member{hostRecord: hostRecord{Name: name}}
			}
		}
		c.electorate.Electorate = electorate.New([]string{"h1", "h2", "h3"}, nil)
		c.completeAsOf[TableState] = now.Add(-claimsAge)
		c.permittedUntil = now.Add(permission.Duration - permissionAge)
		return c.claimsReadDue(now)
	}
	readers, old, fresh := 0, 0, 0
	for _, host := range []string{"h1", "h2", "h3"} {
		for _, c := range []struct {
			claims, permission time.Duration
			count              *int
		}{{500 * time.Millisecond, 0, &readers}, {2 * time.Second, 0, &fresh}, {2 * time.Second, claimsMaxAge, &old}} {
			if due(host, c.claims, c.permission) {
				*c.count++
			}
		}
	}
	g.Expect(readers).To(Equal(1))
	g.Expect(fresh).To(Equal(1))
	g.Expect(old).To(Equal(3))
}
