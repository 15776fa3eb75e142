package owner

import (
	"context"
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/coord/confirm"
	"github.com/beryltrestle/beryltrestle/coord/floors"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/routing"
	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

// beginTerm discards the state of the previous term.
func (g *group) beginTerm(v control.GroupView) {
	g.term = v.Term
	g.floors = floors.New(v.Marker)
	g.staleness = routing.NewStaleness()
	g.applied = make(map[string]logpos.Position)
	g.primaryEnd = v.Marker
	g.tracker = nil
	for addr := range g.pools {
		g.removeEndpoint(addr)
	}
}

func (g *group) removeEndpoint(addr string) {
	g.pollers[addr].stop()
	g.pools[addr].close()
	delete(g.pollers, addr)
	delete(g.pools, addr)
	delete(g.applied, addr)
}

// syncEndpoints updates connection pools, pollers and the tracker to the endpoints of
// the view. The endpoints change with the term and with the manifest.
func (g *group) syncEndpoints(v control.GroupView) {
	names := make([]string, len(v.Pool.Endpoints))
	changed := g.tracker == nil || len(names) != len(g.pools)
	for i, ep := range v.Pool.Endpoints {
		names[i] = ep.Address
		if g.pools[ep.Address] == nil {
			g.addEndpoint(v, ep)
			changed = true
		}
	}
	if !changed {
		return
	}
	for addr := range g.pools {
		if !slices.Contains(names, addr) {
			g.removeEndpoint(addr)
		}
	}
	// From now on, a majority of the new endpoints counts. The new tracker starts
	// empty and is filled by the next polls.
	g.tracker = confirm.New(g.term, names)
	g.health.SetEndpoints(time.Now(), names)
}

func (g *group) addEndpoint(v control.GroupView, ep manifest.Endpoint) {
	pool := newConnPool(v.Pool, ep, g.term, g.cfg.Metrics)
	g.pools[ep.Address] = pool
	g.pollers[ep.Address] = startPoller(g, ep.Address, g.term)
	go pool.warm(context.Background(), ep.Slots)
}

// closeUnreachable cuts off the batches on replicas that no longer answer. These are
// reads, which are repeated elsewhere. Batches on the primary wait until it is
// replaced, because only then is their outcome known.
func (g *group) closeUnreachable(v control.GroupView) {
	if v.Term != g.term {
		return
	}
	for addr, ep := range v.Endpoints {
		if pool := g.pools[addr]; pool != nil && addr != v.Primary && !ep.PolledAt.IsZero() && !ep.Reachable {
			pool.closeInUse()
		}
	}
}

// schedulerEndpoints returns the group's endpoints as the scheduler needs them.
func (g *group) schedulerEndpoints(v control.GroupView) []admission.Endpoint {
	eps := make([]admission.Endpoint, 0, len(v.Pool.Endpoints))
	for _, ep := range v.Pool.Endpoints {
		st := v.Endpoints[ep.Address]
		primary := ep.Address == v.Primary
		accepting := v.Owned && !v.InTransition
		if !primary {
			accepting = accepting && st.Reachable && st.AppointedTerm == v.Term
		}
		var distance time.Duration
		if ep.AvailabilityZone != g.cfg.AvailabilityZone {
			distance = g.cfg.CrossZoneRTT
		}
		eps = append(eps, admission.Endpoint{
			Name:      ep.Address,
			Slots:     ep.Slots,
			Primary:   primary,
			Accepting: accepting && !ep.Leaving,
			Distance:  distance,
		})
	}
	return eps
}
