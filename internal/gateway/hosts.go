package gateway

import (
	"bytes"
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

const (
	// writeTimeout bounds one write to the store.
	writeTimeout = 1500 * time.Millisecond
	// unregisterTimeout bounds the removal of the host's row when it stops.
	unregisterTimeout = 600 * time.Millisecond
)

// register writes this host's row until the store has accepted it. It runs on a
// goroutine of its own. The row of an earlier incarnation is replaced under its
// version; until then it stands for this one, which answers at the same address.
func (c *control) register(ctx context.Context) {
	record := encodeRecord(hostRecord{
		Name: c.gw.cfg.Host, Address: c.gw.cfg.Address,
		Incarnation: c.incarnation, AvailabilityZone: c.gw.cfg.AvailabilityZone,
	})
	key := hostPrefix + c.gw.cfg.Host
	for ; ctx.Err() == nil; wait.Sleep(ctx, lastPause/4) {
		c.gw.metrics.Inc(metrics.StoreReads)
		listing, err := c.list(ctx, TableState)
		if err != nil {
			c.gw.events.log.Warn().Err(err).Msg("hosts were not listed")
			continue
		}
		held := findRow(listing, key)
		version := held.Version
		if !bytes.Equal(held.Value, record) {
			version, err = c.write(ctx, key, held.Version, record)
		}
		if err != nil {
			continue
		}
		c.ask(func() {
			c.own, c.registering = version, false
			c.listedSince(version)
		})
		return
	}
}

// findRow returns a row of a listing; its version is 0 if it is missing.
func findRow(listing []rows.Row, key string) rows.Row {
	for _, r := range listing {
		if r.Key == key {
			return r
		}
	}
	return rows.Row{}
}

// write writes a row of TableState once.
func (c *control) write(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	version, err := c.gw.cfg.Store.Write(ctx, TableState, key, expected, value)
	if err != nil && !errors.Is(err, ErrConflict) {
		c.gw.events.log.Warn().Str("row", key).Err(err).Msg("write to the store failed")
	}
	return version, err
}

// unregister removes the host's row, so that others do not wait for it.
func (c *control) unregister() {
	var own uint64
	c.ask(func() { own = c.own })
	if own == 0 {
		return
	}
	c.remove(hostPrefix+c.gw.cfg.Host, own, unregisterTimeout)
}

// remove removes a row of TableState that has not changed. It may be called from any
// goroutine.
func (c *control) remove(key string, version uint64, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(c.gw.ctx, timeout)
	defer cancel()
	if err := c.gw.cfg.Store.Delete(ctx, TableState, key, version); err != nil {
		c.gw.events.log.Warn().Str("row", key).Err(err).Msg("row was not removed")
	}
}

// stateChanged acts on rows of hosts and claims.
func (c *control) stateChanged(changed []rows.Row) {
	membership := false
	for _, r := range changed {
		if name, ok := groupOfClaim(r.Key); ok {
			c.claimChanged(name, r)
			continue
		}
		membership = c.hostChanged(r) || membership
	}
	if membership {
		c.fleetSize.Store(int64(len(c.members) + 1))
		c.endpointsChanged()
	}
}

// hostChanged takes the row of another host. It returns true if the set of hosts
// changed.
func (c *control) hostChanged(r rows.Row) bool {
	name, ok := hostOfKey(r.Key)
	if !ok {
		return false
	}
	if name == c.gw.cfg.Host {
		c.ownRowChanged(r)
		return false
	}
	if r.Deleted {
		m, known := c.members[name]
		if known {
			c.left(m.Address)
		}
		delete(c.members, name)
		return known
	}
	record, err := decodeRecord[hostRecord](r)
	if err != nil {
		c.gw.events.log.Warn().Err(err).Msg("host's row cannot be read")
		return false
	}
	m, known := c.members[name]
	if known && m.Incarnation == record.Incarnation {
		return false
	}
	if known && m.Address != record.Address {
		c.left(m.Address)
	}
	c.members[name] = &member{hostRecord: record, known: boottime.Now(), through: make(map[TableName]uint64)}
	c.gw.events.log.Info().Str("member", name).Uint64("incarnation", record.Incarnation).Msg("host joined")
	return !known
}

// left notes that the host at the address is no longer listed.
func (c *control) left(address string) {
	now := boottime.Now()
	maps.DeleteFunc(c.former, func(_ string, at time.Time) bool { return now.Sub(at) >= permission.Duration })
	c.former[address] = now
}

// ownRowChanged notes whether this host is listed, and writes its row again if others
// have removed it.
func (c *control) ownRowChanged(r rows.Row) {
	if !r.Deleted {
		record, err := decodeRecord[hostRecord](r)
		if err == nil && record.Address == c.gw.cfg.Address {
			c.listedSince(r.Version)
		}
		return
	}
	if r.Version < c.listedAt {
		return
	}
	c.listedAt = 0
	c.permit()
	if c.leaving || c.registering {
		return
	}
	c.registering = true
	go c.register(c.gw.ctx)
}
