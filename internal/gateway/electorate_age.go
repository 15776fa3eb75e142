package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/quota"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// electorateAgeKey is the key of the row that says how old the electorate is at least. It spares
// hosts that have restarted the wait until they may lend tokens: a host does not know for how long
// the electorate in the store has been in force, and after all hosts have been killed at once there
// would be no lender for quota.RoleDelay.
const electorateAgeKey = "electorate-age"

// electorateAgeRecord is the value of that row.
type electorateAgeRecord struct {
	// Version is that of the row of the electorate.
	Version uint64 `json:"version"`
	// InForceMs is a time of the store's clock, in milliseconds, at which the electorate was in
	// force.
	InForceMs int64 `json:"in_force_ms"`
}

// check implements record.
func (e electorateAgeRecord) check(string) error {
	if e.InForceMs < 0 || e.InForceMs > int64(time.Duration(1<<62)/time.Millisecond) {
		return errors.Newf("time %d is out of range", e.InForceMs)
	}
	return nil
}

// checkElectorateAge lets the lender begin at once if the listing shows that the electorate has been
// in force for quota.RoleDelay. If the age of the electorate is not in the store, the host that
// ranks first writes it.
func (c *controller) checkElectorateAge(listing Listing) {
	e := &c.electorate
	listed := findRow(listing.Rows, electorateKey)
	if c.gw.quota == nil || listed.Version == 0 || listed.Version != e.version || e.Sets() == nil || e.Changing() {
		return
	}
	row := findRow(listing.Rows, electorateAgeKey)
	age, err := decodeRecord[electorateAgeRecord](row)
	if err == nil && age.Version == e.version {
		if listing.StoreTime-time.Duration(age.InForceMs)*time.Millisecond >= quota.RoleDelay {
			c.gw.quota.settle(boottime.Now(), e.version)
		}
		return
	}
	now := boottime.Now()
	if listing.StoreTime == 0 || e.writingAge || !c.mayChangeElectorate(now) || c.rankInGroup(now, storeReadersGroup) != 0 {
		return
	}
	e.writingAge = true
	// Rounding up keeps the electorate from looking older than it is.
	record := electorateAgeRecord{Version: e.version, InForceMs: listing.StoreTime.Milliseconds() + 1}
	c.spawn("write the age of the electorate", func() {
		// A failure is logged, and the next listing repeats the write.
		_, _ = c.writeStateRow(c.gw.ctx, electorateAgeKey, row.Version, encodeRecord(record))
		c.submit(func() { c.electorate.writingAge = false })
	})
}
