package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// Guards against a permission that lapses by time without a log line or a count.
func TestLapsedPermissionIsCounted(t *testing.T) {
	g := NewWithT(t)
	c := controllersOfFleet(3, boottime.Now())[0]
	c.listedSinceVersion = 1
	c.tables[TableState].Apply(nil, 0, 1)
	c.updatePermission()
	g.Expect(c.permitted).To(BeTrue())
	c.startedAt = c.startedAt.Add(-time.Hour)
	c.completeAsOf[TableState] = boottime.Now().Add(-time.Minute)
	c.updatePermission()
	g.Expect(c.permitted).To(BeFalse())
	g.Expect(c.gw.metrics.Count(metrics.PrimaryPermissionLost)).To(BeEquivalentTo(1))
}
