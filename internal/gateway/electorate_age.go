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

// slowChangeAge is the age from which a change of the electorate counts as one that no quorum
// completes. Others take a few hundred milliseconds.
const slowChangeAge = time.Second

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

// checkElectorateAge learns from the listing for how long the electorate has been in force, by the
// store's clock. A change may be completed without a quorum by its age, and the lender begins at once
// if the electorate has been in force for quota.RoleDelay. If the age of the electorate is not in the
// store, the host that ranks first writes it.
func (c *controller) checkElectorateAge(listing Listing) {
	e, now := &c.electorate, boottime.Now()
	if !c.needsElectorateAge(now) || findRow(listing.Rows, electorateKey).Version != e.version {
		return
	}
	row := findRow(listing.Rows, electorateAgeKey)
	record, err := decodeRecord[electorateAgeRecord](row)
	if err == nil && record.Version == e.version {
		age := listing.StoreTime - time.Duration(record.InForceMs)*time.Millisecond
		if since := now.Add(-age); since.Before(e.inForceSince) {
			e.inForceSince = since
		}
		if age >= quota.RoleDelay && !e.Changing() && c.gw.quota != nil {
			c.gw.quota.settle(now, e.version)
		}
		return
	}
	if listing.StoreTime == 0 || e.writingAge || !c.mayChangeElectorate(now) || c.rankInGroup(now, storeReadersGroup) != 0 {
		return
	}
	e.writingAge = true
	// Rounding up keeps the electorate from looking older than it is.
	record = electorateAgeRecord{Version: e.version, InForceMs: listing.StoreTime.Milliseconds() + 1}
	c.spawn("write the age of the electorate", func() {
		// A failure is logged, and the next listing repeats the write.
		_, _ = c.writeStateRow(c.gw.ctx, electorateAgeKey, row.Version, encodeRecord(record))
		c.submit(func() { c.electorate.writingAge = false })
	})
}

// needsElectorateAge reports whether it matters for how long the electorate has been in force: for
// lenders, and for a change that does not find a quorum.
func (c *controller) needsElectorateAge(now time.Time) bool {
	e := &c.electorate
	if e.Changing() {
		return now.Sub(e.changedAt) >= slowChangeAge
	}
	return c.gw.quota != nil && e.Sets() != nil
}
