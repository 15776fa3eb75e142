package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// applyCatalog applies a newer configuration.
func (c *controller) applyCatalog(changed []rows.Row) {
	for _, r := range changed {
		if r.Deleted {
			continue
		}
		catalog, ok, err := c.gw.cfg.Decoder.Catalog(r)
		if err != nil {
			c.gw.metrics.Inc(metrics.ConfigurationInvalid)
			c.gw.events.log.Error().Err(err).Uint64("row_version", r.Version).Msg("configuration row cannot be decoded; the previous configuration stays in force")
			continue
		}
		current := c.gw.catalog()
		if !ok {
			continue
		}
		if catalog.Version < current.Version {
			c.gw.metrics.Inc(metrics.ConfigurationOlder)
			c.gw.events.log.Warn().Uint64("version", catalog.Version).Uint64("in_force", current.Version).Msg("older configuration ignored; withdrawals of keys in it do not take effect")
		}
		if catalog.Version <= current.Version {
			continue
		}
		if c.gw.quota != nil {
			// The limits come first: a team must not be served without its limit.
			c.gw.quota.setLimits(catalog.Teams.Teams())
		}
		c.gw.currentCatalog.Store(catalog)
		c.gw.events.log.Info().Uint64("version", catalog.Version).Uint64("before", current.Version).
			Int("databases", len(catalog.Databases)).Msg("configuration in force")
		c.updateGroups()
	}
}

// updateGroups updates the groups from the configuration and the endpoints table.
func (c *controller) updateGroups() {
	catalog := c.gw.catalog()
	listed := make(map[string]map[string]Endpoint)
	for _, e := range c.readableEndpoints() {
		if _, ok := catalog.Groups[e.Group]; !ok {
			continue
		}
		if listed[e.Group] == nil {
			listed[e.Group] = make(map[string]Endpoint)
		}
		listed[e.Group][e.ID] = e
	}
	now := boottime.Now()
	hosts := c.liveHostsByZone(now)
	groups := maps.Clone(*c.gw.currentGroups.Load())
	var created []string
	for name, config := range catalog.Groups {
		g, ok := groups[name]
		if !ok {
			g = newGroup(name, c.gw.pool)
			groups[name] = g
			c.monitors[name] = newGroupMonitor()
			created = append(created, name)
		}
		c.updateGroup(now, g, config, listed[name], hosts)
	}
	if len(created) > 0 {
		// Earlier answers of the other hosts could not include claims on the new
		// groups.
		c.relayedEvidence = time.Time{}
		for _, m := range c.members {
			m.answeredAt = time.Time{}
		}
		c.updatePermission()
	}
	for _, name := range created {
		// No session may use the group before its claim is known.
		if r, ok := c.tables[TableState].Get(claimPrefix + name); ok {
			c.applyClaimTo(groups[name], c.monitors[name], r)
		}
	}
	c.gw.currentGroups.Store(&groups)
	for _, name := range created {
		if r, ok := c.tables[TableState].Get(replicaSetPrefix + name); ok {
			c.applyReplicaSet(name, r)
		}
	}
}

// endpointRow is the decoded version of a row of the endpoints table.
type endpointRow struct {
	version  uint64
	endpoint Endpoint
	// readable is false if the row does not describe a usable endpoint.
	readable bool
}

// readableEndpoints returns the endpoints of all rows that can be decoded. Each version
// of a row is decoded only once, so that a bad row is logged only once.
func (c *controller) readableEndpoints() []Endpoint {
	var out []Endpoint
	decoded := make(map[string]endpointRow)
	for _, r := range c.tables[TableEndpoints].Live() {
		e, ok := c.endpointRows[r.Key]
		if !ok || e.version != r.Version {
			e = c.decodeEndpoint(r)
		}
		decoded[r.Key] = e
		if e.readable {
			out = append(out, e.endpoint)
		}
	}
	c.endpointRows = decoded
	return out
}

// decodeEndpoint decodes a row of the endpoints table.
func (c *controller) decodeEndpoint(r rows.Row) endpointRow {
	endpoint, err := c.gw.cfg.Decoder.Endpoint(r)
	if err != nil {
		c.gw.events.log.Warn().Str("endpoint", r.Key).Uint64("version", r.Version).Err(err).Msg("endpoint row cannot be decoded")
	}
	return endpointRow{version: r.Version, endpoint: endpoint, readable: err == nil}
}

// updateGroup adds, updates and removes the group's targets.
func (c *controller) updateGroup(now time.Time, g *group, config Group, listed map[string]Endpoint, hosts hostsByZone) {
	var toQuery, retired []*target
	asOf := c.completeAsOf[TableEndpoints]
	g.mu.Lock()
	g.config = config
	for id, e := range listed {
		t, ok := g.targets[id]
		switch {
		case !ok || t.StartedAtMs != e.StartedAtMs || t.Address != e.Address:
			if ok {
				t.removed = true
				retired = append(retired, t)
			}
			if id == g.primary {
				// The new process may lack the log of the one before. It leads once it says so.
				g.primary = ""
			}
			t = newTarget(g, e)
			g.targets[id] = t
			toQuery = append(toQuery, t)
			c.gw.events.log.Info().Str("group", g.name).Str("endpoint", id).Str("zone", e.AvailabilityZone).Bool("primary", e.Primary).Msg("endpoint listed")
		case t.Endpoint != e:
			if t.Primary != e.Primary {
				toQuery = append(toQuery, t)
			}
			if e.Draining && !t.Draining {
				c.gw.events.log.Info().Str("group", g.name).Str("endpoint", id).Msg("endpoint drains")
			}
			t.update(e)
		}
		t.applyPlan(c.planConnections(hosts, config, e))
		if !t.Draining {
			t.drainingSince, t.inServiceAsOf = now, asOf
		}
		if !t.unlistedAt.IsZero() {
			t.unlistedAt = time.Time{}
			c.gw.events.log.Info().Str("group", g.name).Str("endpoint", id).Msg("endpoint listed again")
		}
	}
	for id, t := range g.targets {
		if _, ok := listed[id]; ok {
			continue
		}
		if t.unlistedAt.IsZero() {
			t.unlistedAt = now
			c.gw.events.log.Info().Str("group", g.name).Str("endpoint", id).Msg("endpoint no longer listed")
		}
		if !t.leaving(now) {
			t.drainingSince = now
			continue
		}
		if id == g.primary && now.Sub(t.unlistedAt) < unlistedPrimaryGrace {
			continue
		}
		t.removed = true
		delete(g.targets, id)
		retired = append(retired, t)
	}
	for _, t := range retired {
		t.failWaiting(errEndpointDown)
		t.closeIdle()
		// Fences are not applied to it any more.
		g.closePrimaryWork(t.primaryWork(func(*conn) bool { return true }))
	}
	g.health.SetEndpoints(now, slices.Collect(maps.Keys(g.targets)))
	g.notify()
	g.mu.Unlock()
	for _, t := range toQuery {
		c.spawn("query status", func() {
			// A failure is logged and recorded on the target.
			_, _ = c.queryStatus(t)
		})
	}
}

// closeIdle closes the idle connections. The group's mutex must be held.
func (t *target) closeIdle() {
	for _, c := range t.idle {
		t.drop(c)
	}
	t.idle = nil
}

// unlistedGrace is how long an endpoint stays in use after its row disappeared. Rows
// also disappear while the store is down and return within about two seconds after it
// is back.
const unlistedGrace = 2500 * time.Millisecond

// unlistedPrimaryGrace is how long a primary is remembered after its row disappeared,
// so that it can be replaced without losing its last commits. It is shorter than the
// time after which an endpoint that left must not get any work.
const unlistedPrimaryGrace = 6 * time.Second

// applyPlan changes how the endpoint is reached. A limit that was lowered because the
// endpoint refused connections is raised again step by step.
func (t *target) applyPlan(plan connPlan) {
	if t.viaRelays != plan.viaRelays {
		t.closeIdle()
		t.limit = plan.limit
	}
	t.viaRelays, t.relays, t.window = plan.viaRelays, plan.relays, plan.window
	t.applyShare(plan)
	t.limit = min(plan.limit, t.limit+1)
	t.idle = slices.DeleteFunc(t.idle, func(c *conn) bool {
		if t.mayReuse(c) {
			return false
		}
		t.drop(c)
		return true
	})
}

// mayReuse reports whether the connection leads to the endpoint in the planned way. A host
// that is no longer a relay host of the endpoint refuses requests. The group's mutex must be
// held.
func (t *target) mayReuse(c *conn) bool {
	_, relay := c.Conn.(RelayConn)
	if relay != t.usesRelay() {
		return false
	}
	return !relay || t.relayRoute.Active() || slices.Contains(t.relays, c.relayAddress)
}
