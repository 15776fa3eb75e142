package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// replicaSetInterval is how often the host ranked first for a group compares its replica set
// with the listed endpoints.
const replicaSetInterval = 500 * time.Millisecond

// replicaSetRecord is the value of a replica set's row: the endpoints of a group with
// synchronous replication that may hold acknowledged commits. How many answers a successor
// needs depends on it, not on the present listing: an endpoint whose row has disappeared may
// be the only one that has confirmed the last commits.
//
// An endpoint is known by its address, since a new one at the address gets its log. An address
// that is no longer listed is dropped once as many endpoints as ever before are listed and all
// of them have the primary's log up to then.
type replicaSetRecord struct {
	Addresses []string `json:"addresses"`
	// Size is the largest number of endpoints that were listed at once.
	Size int `json:"size"`
}

// maxReplicaSet limits the addresses of a replica set.
const maxReplicaSet = 100

// check implements record.
func (r replicaSetRecord) check(string) error {
	if len(r.Addresses) > maxReplicaSet || r.Size < 0 || r.Size > maxReplicaSet {
		return errors.Newf("%d addresses or size %d is out of range", len(r.Addresses), r.Size)
	}
	return nil
}

// equal reports whether both records are the same.
func (r replicaSetRecord) equal(other replicaSetRecord) bool {
	return r.Size == other.Size && slices.Equal(r.Addresses, other.Addresses)
}

// with returns the record with the listed addresses added.
func (r replicaSetRecord) with(listed []string) replicaSetRecord {
	all := slices.Concat(r.Addresses, listed)
	slices.Sort(all)
	return replicaSetRecord{Addresses: slices.Compact(all), Size: max(r.Size, len(listed))}
}

// replicas returns the number of replicas, other than the primary, that may hold
// acknowledged commits.
func (r replicaSetRecord) replicas() int { return max(len(r.Addresses)-1, 0) }

// listedAddresses returns the addresses of the group's endpoints. The mutex must be held.
func (g *group) listedAddresses() []string {
	addresses := make(map[string]bool, len(g.targets))
	for _, t := range g.targets {
		addresses[t.Address] = true
	}
	return slices.Sorted(maps.Keys(addresses))
}

// applyReplicaSet applies the row of a group's replica set.
func (c *controller) applyReplicaSet(name string, r rows.Row) {
	m, g := c.monitors[name], c.gw.group(name)
	if m == nil || g == nil || r.Version <= m.replicaSetVersion {
		return
	}
	m.replicaSetVersion, m.replicaSetDeleted = r.Version, r.Deleted
	var record replicaSetRecord
	if !r.Deleted {
		var err error
		if record, err = decodeRecord[replicaSetRecord](r); err != nil {
			c.gw.events.log.Warn().Err(err).Msg("replica set row cannot be decoded")
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replicaSet = record
}

// maintainReplicaSets updates the replica sets of the groups with synchronous replication for
// which this host ranks first.
func (c *controller) maintainReplicaSets(now time.Time) {
	if now.Sub(c.replicaSetsCheckedAt) < replicaSetInterval {
		return
	}
	c.replicaSetsCheckedAt = now
	if c.leaving || !c.endpointsLoaded || c.claimsTooOld(now) {
		return
	}
	for name, g := range *c.gw.currentGroups.Load() {
		m := c.monitors[name]
		g.mu.Lock()
		sync, set, listed, primary := g.config.SyncReplicas, g.replicaSet, g.listedAddresses(), g.usablePrimary(now)
		g.mu.Unlock()
		if sync == 0 || m.updatingReplicaSet || c.rankInGroup(now, name) != 0 {
			continue
		}
		switch next := set.with(listed); {
		case !next.equal(set):
			c.writeReplicaSet(name, m, next)
		case len(listed) < len(set.Addresses) && len(listed) >= set.Size && primary != nil:
			c.dropFromReplicaSet(name, g, m, replicaSetRecord{Addresses: listed, Size: set.Size})
		}
	}
}

// dropFromReplicaSet writes the smaller replica set if all of its endpoints have received what
// the primary had before.
func (c *controller) dropFromReplicaSet(name string, g *group, m *groupMonitor, next replicaSetRecord) {
	m.updatingReplicaSet = true
	c.spawn("check replicas", func() {
		end, found := primaryEnd(c.survey(g, nil))
		caughtUp := found && allReceived(c.survey(g, nil), end, len(next.Addresses))
		c.submit(func() {
			m.updatingReplicaSet = false
			if caughtUp {
				c.writeReplicaSet(name, m, next)
			}
		})
	})
}

// primaryEnd returns the end of the log of the primary with the newest term that answered.
func primaryEnd(answers map[string]Status) (logpos.Position, bool) {
	var newest Status
	for _, s := range answers {
		if s.Primary && s.Term > newest.Term {
			newest = s
		}
	}
	return newest.Received, newest.Primary
}

// allReceived reports whether the number of endpoints have answered and have all received the
// log up to the position.
func allReceived(answers map[string]Status, end logpos.Position, endpoints int) bool {
	for _, s := range answers {
		if s.Received.Less(end) {
			return false
		}
	}
	return len(answers) >= endpoints
}

// writeReplicaSet writes the replica set on the condition that it has not changed.
func (c *controller) writeReplicaSet(name string, m *groupMonitor, next replicaSetRecord) {
	m.updatingReplicaSet = true
	expected := m.replicaSetVersion
	if m.replicaSetDeleted {
		expected = 0
	}
	c.spawn("write replica set", func() {
		_, err := c.writeStateRow(c.gw.ctx, replicaSetPrefix+name, expected, encodeRecord(next))
		c.submit(func() {
			m.updatingReplicaSet = false
			if err == nil {
				c.gw.metrics.Inc(metrics.ReplicaSetChanges)
				c.gw.events.log.Info().Str("group", name).Strs("addresses", next.Addresses).Int("size", next.Size).Msg("replica set written")
			}
		})
	})
}
