package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// Guards against a restarted host that uses a primary by what another host knew before the
// start: the holder of a claim whose call was refused meanwhile does not wait for the
// permission of this host (issue 31).
func TestRestartedHostNeedsClaimsAsOfItsStart(t *testing.T) {
	g := NewWithT(t)
	start := func(name string) *controller {
		c := newController(New(Config{Host: name, Address: name, Metrics: metrics.NewRegistry()}))
		c.gw.currentGroups.Store(&map[string]*group{"g": newGroup("g", c.gw.pool)})
		return c
	}
	other := start("h2")
	other.applyListing(TableState, Listing{Version: 3, Rows: []rows.Row{
		{Key: electorateKey, Version: 3, Value: encodeRecord(electorateRecord{Electorate: electorate.New([]string{"h1", "h2", "h3"}, nil)})},
		{Key: hostPrefix + "h1", Version: 1, Value: encodeRecord(hostRecord{Name: "h1", Address: "h1", Incarnation: 5})},
		{Key: hostPrefix + "h2", Version: 2, Value: encodeRecord(hostRecord{Name: "h2", Address: "h2", Incarnation: other.incarnation})},
	}})
	other.recordListing(2)
	permitted := func(claimsAge time.Duration) bool {
		restarted := start("h1")
		now := boottime.Now()
		other.startedAt, other.completeAsOf[TableState] = now.Add(-time.Minute), now.Add(-claimsAge)
		other.updatePermission()
		restarted.applyGossip(other.gossipMessage(now, map[TableName]uint64{TableState: 0}), now)
		g.Expect(restarted.isListed()).To(BeTrue())
		return restarted.gw.primaryPermitted(now)
	}
	g.Expect(permitted(300 * time.Millisecond)).To(BeFalse())
	g.Expect(permitted(0)).To(BeTrue())
}
