package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// mirrorLateAge is the age from which a table mirror counts as late. Every host reads the
// table itself at a lower age, so that this read has failed or has not been answered.
const mirrorLateAge = 3 * time.Second

// mirrorAgeMetrics names the histogram with the age of each table's mirror.
var mirrorAgeMetrics = map[TableName]metrics.Name{
	TableCatalog:   metrics.AgeCatalog,
	TableEndpoints: metrics.AgeEndpoints,
	TableState:     metrics.AgeState,
}

// checkMirrorAges records the age of each mirror, and logs when a mirror becomes late and
// when it is no longer late. Mirrors that were never complete are left out.
func (c *controller) checkMirrorAges(now time.Time) {
	for name, asOf := range c.completeAsOf {
		age := now.Sub(asOf)
		c.gw.metrics.Observe(mirrorAgeMetrics[name], age)
		late := age >= mirrorLateAge
		if late == c.lateMirrors[name] {
			continue
		}
		c.lateMirrors[name] = late
		c.gw.events.log.Info().Str("table", string(name)).Bool("late", late).Dur("age_ms", age).
			Int64("failed_calls", c.gw.metrics.Count(metrics.GossipFailed)).Msg("age of a table mirror changed")
	}
}
