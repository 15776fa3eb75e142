package gateway

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// Guards against hosts that have ended for good and stay voters, as connections to them are refused:
// each failover waits for their permissions, and none finds a quorum once most have ended.
func TestRefusingHostLosesItsRow(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	c := controllersOfFleet(3, now.Add(-time.Minute))[0]
	c.gw.cfg.Peers = refusingPeers{}
	var listed []rows.Row
	for name, m := range c.members {
		m.knownSince, m.lastContact, m.answeredAt = now.Add(-time.Hour), now.Add(-time.Hour), now.Add(-time.Hour)
		listed = append(listed, rows.Row{Key: hostPrefix + name, Version: 9, Value: encodeRecord(m.hostRecord)})
	}
	c.tables[TableState].Apply(listed, 0, 9)
	for name := range c.members {
		c.recordFailedCall(name, errors.New("connection refused"))
	}
	g.Expect(c.unresponsiveMemberRows(now)).To(HaveLen(len(listed)))
}
