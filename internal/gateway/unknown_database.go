package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// defaultConfigurationBound is the shortest bound in use.
const defaultConfigurationBound = 3 * time.Second

// noDatabase is the answer outside a transaction if the database is not configured.
var noDatabase = Reply{Code: CodeNoDatabase, Detail: "no database of this name is configured"}

// refuseUnknownDatabase counts the refusal of a caller whose database is not in this host's
// configuration and returns the answer. The answer says that the database does not exist
// only if no newer configuration can be in force. Otherwise the caller is told to come
// back, and may find a host that knows the database.
func (gw *Gateway) refuseUnknownDatabase() Reply {
	reason := gw.unknownDatabaseRefusal(boottime.Now())
	gw.metrics.Inc(reason)
	if reason == metrics.RefusedUnknownPool {
		return noDatabase
	}
	return Reply{Code: CodeBusy, Detail: gw.retryHint(reason)}
}

// unknownDatabaseRefusal returns the reason for which such a caller is refused.
func (gw *Gateway) unknownDatabaseRefusal(now time.Time) metrics.Name {
	if gw.configurationCurrent(now) {
		return metrics.RefusedUnknownPool
	}
	return metrics.RefusedOutdatedConfiguration
}

// configurationCurrent reports whether this host knows every configuration that must be in
// force. It may be called from any goroutine.
func (gw *Gateway) configurationCurrent(now time.Time) bool {
	age := gw.catalogAge(now)
	return age >= 0 && age <= gw.cfg.ConfigurationBound
}
