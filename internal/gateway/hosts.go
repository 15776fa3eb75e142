package gateway

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

const (
	// writeTimeout limits one write to the store.
	writeTimeout = 1500 * time.Millisecond
	// unregisterTimeout limits the removal of the host's row when it stops.
	unregisterTimeout = 600 * time.Millisecond
)

// register writes this host's row and retries until the store has accepted it. It must
// not run on the controller goroutine. A row of an earlier incarnation is replaced
// conditionally on its version; until then that row represents this host, which answers
// at the same address.
func (c *controller) register(ctx context.Context) {
	record := encodeRecord(hostRecord{
		Name: c.gw.cfg.Host, Address: c.gw.cfg.Address,
		Incarnation: c.incarnation, AvailabilityZone: c.gw.cfg.AvailabilityZone, Weight: c.gw.cfg.Weight, HorizonKnown: true,
	})
	key := hostPrefix + c.gw.cfg.Host
	for ; ctx.Err() == nil; wait.Sleep(ctx, storeRetryMax/4) {
		c.gw.metrics.Inc(metrics.StoreReads)
		listing, err := c.fetchListing(ctx, TableState)
		if err != nil {
			c.gw.events.log.Warn().Err(err).Msg("hosts were not listed")
			continue
		}
		current := findRow(listing, key)
		version := current.Version
		if !bytes.Equal(current.Value, record) {
			version, err = c.writeStateRow(ctx, key, current.Version, record)
		}
		if err != nil {
			continue
		}
		c.submitAndWait(func() {
			c.ownRowVersion, c.registering = version, false
			c.recordListing(version)
		})
		return
	}
}

// findRow returns the row with the given key, or a row with version 0 if there is none.
func findRow(listing []rows.Row, key string) rows.Row {
	for _, r := range listing {
		if r.Key == key {
			return r
		}
	}
	return rows.Row{}
}

// writeStateRow writes a row of TableState, without retries.
func (c *controller) writeStateRow(ctx context.Context, key string, expected uint64, value []byte, also ...RowVersion) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	version, err := c.gw.cfg.Store.Write(ctx, TableState, key, expected, value, also...)
	if err != nil && !errors.Is(err, ErrConflict) {
		c.gw.events.log.Warn().Str("row", key).Err(err).Msg("write to the store failed")
	}
	return version, err
}

// unregister removes this host's row, so that other hosts do not wait for it.
func (c *controller) unregister() {
	var own uint64
	c.submitAndWait(func() {
		own, c.unregistering = c.ownRowVersion, true
		c.updatePermission()
	})
	if own == 0 {
		return
	}
	c.deleteStateRow(hostPrefix+c.gw.cfg.Host, own, unregisterTimeout)
}

// deleteStateRow deletes a row of TableState if it still has the given version and the
// conditions on other rows hold. It may be called from any goroutine.
func (c *controller) deleteStateRow(key string, version uint64, timeout time.Duration, also ...RowVersion) {
	ctx, cancel := context.WithTimeout(c.gw.ctx, timeout)
	defer cancel()
	if err := c.gw.cfg.Store.Delete(ctx, TableState, key, version, also...); err != nil {
		c.gw.events.log.Warn().Str("row", key).Err(err).Msg("deleting a row from the store failed")
	}
}

// applyStateRows applies changed rows of TableState.
func (c *controller) applyStateRows(changed []rows.Row) {
	membershipChanged := false
	for _, r := range changed {
		if r.Key == electorateKey {
			c.applyElectorate(r)
			continue
		}
		if r.Key == restorationKey {
			c.applyRestoration(r)
			continue
		}
		if name, ok := strings.CutPrefix(r.Key, replicaSetPrefix); ok {
			c.applyReplicaSet(name, r)
			continue
		}
		if name, ok := groupOfClaim(r.Key); ok {
			c.applyClaim(name, r)
			continue
		}
		membershipChanged = c.applyHostRow(r) || membershipChanged
	}
	c.resolveVoters()
	c.updateQuotaRoles()
	if membershipChanged {
		c.fleetSize.Store(int64(len(c.members) + 1))
		c.updateGroups()
	}
}

// applyHostRow applies the row of a host. It returns true if the set of other hosts
// changed.
func (c *controller) applyHostRow(r rows.Row) bool {
	name, ok := hostOfKey(r.Key)
	if !ok {
		return false
	}
	if name == c.gw.cfg.Host {
		c.applyOwnRow(r)
		return false
	}
	if r.Deleted {
		m, known := c.members[name]
		if known {
			c.recordDeparture(m.Address)
		}
		delete(c.members, name)
		return known
	}
	record, err := decodeRecord[hostRecord](r)
	if err != nil {
		c.gw.events.log.Warn().Err(err).Msg("host row cannot be decoded")
		return false
	}
	m, known := c.members[name]
	if known && m.Incarnation == record.Incarnation {
		return false
	}
	if known && m.Address != record.Address {
		c.recordDeparture(m.Address)
	}
	c.members[name] = &member{hostRecord: record, knownSince: boottime.Now(), mirrorVersions: make(map[TableName]uint64)}
	c.gw.events.log.Info().Str("member", name).Uint64("incarnation", record.Incarnation).Msg("host joined")
	return !known
}

// applyOwnRow updates whether this host is listed, and registers it again if another
// host has removed its row or the store has lost it.
func (c *controller) applyOwnRow(r rows.Row) {
	c.electorate.ownAddress = ""
	if !r.Deleted {
		record, err := decodeRecord[hostRecord](r)
		switch {
		case err == nil && record.Address == c.gw.cfg.Address:
			c.recordListing(r.Version)
		case r.Version > c.listedSinceVersion:
			// Another process has this host's name, or the row is damaged. Nobody asks this host
			// before a failover.
			c.listedSinceVersion = 0
			c.updatePermission()
			if err != nil {
				c.registerAgain()
			}
		}
		switch {
		case err == nil && record.Incarnation == c.incarnation:
			c.electorate.ownAddress = record.Address
			if c.ownRowVersion != 0 {
				c.ownRowVersion = r.Version
			}
		case c.ownRowVersion != 0 && rows.Era(r.Version) > rows.Era(c.ownRowVersion):
			// The store was restored, and has the row of an earlier incarnation.
			c.registerAgain()
		}
		return
	}
	if r.Version < c.listedSinceVersion {
		return
	}
	c.listedSinceVersion = 0
	c.updatePermission()
	c.registerAgain()
}

// registerAgain writes this host's row again, unless it is being written or the host stops.
func (c *controller) registerAgain() {
	if c.leaving || c.registering {
		return
	}
	c.registering = true
	c.spawn("register", func() { c.register(c.gw.ctx) })
}
