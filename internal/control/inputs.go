package control

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/claim"
	"github.com/beryltrestle/beryltrestle/coord/membership"
	"github.com/beryltrestle/beryltrestle/coord/placement"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// SetManifest puts a manifest into force. A generation that is not above the
// one in force is ignored. The document must not change afterwards.
func (l *Loop) SetManifest(generation uint64, doc *manifest.Document) {
	l.post(context.Background(), func(now time.Time) { l.setManifest(now, generation, doc) })
}

// SetHosts takes a version of the platform's host list; older ones are ignored.
func (l *Loop) SetHosts(hosts platform.HostListSnapshot) {
	l.post(context.Background(), func(now time.Time) {
		listed := make([]membership.ListedHost, len(hosts.Hosts))
		for i, h := range hosts.Hosts {
			listed[i] = membership.ListedHost{Name: h.Name, Leaving: h.State == platform.HostLeaving}
		}
		if l.members.SetHostList(hosts.Version, listed) {
			l.place(now)
		}
	})
}

// ReportEndpointError implements Controller.
func (l *Loop) ReportEndpointError(pool, address string) {
	l.stepPool(context.Background(), pool, claim.TrafficError{Address: address})
}

// ReportTerm implements Controller.
func (l *Loop) ReportTerm(pool string, term uint64) {
	l.stepPool(context.Background(), pool, claim.TermObserved{Term: term})
}

func (l *Loop) setManifest(now time.Time, generation uint64, doc *manifest.Document) {
	if generation <= l.generation {
		return
	}
	l.generation, l.document = generation, doc
	hosts := make([]membership.Host, len(doc.Hosts))
	for i, h := range doc.Hosts {
		hosts[i] = membership.Host{
			Host:             placement.Host{Name: h.Name, Address: h.Address, Weight: h.Capacity},
			AvailabilityZone: h.AvailabilityZone,
		}
	}
	l.members.Configure(hosts)
	l.setPools(doc.Pools)
	l.place(now)
}

func (l *Loop) setPools(pools []manifest.Pool) {
	known := make(map[string]bool, len(pools))
	for _, p := range pools {
		known[p.Name] = true
		g := l.groups[p.Name]
		if g == nil {
			g = &group{}
			l.groups[p.Name] = g
		}
		g.pool = p
	}
	for name := range l.groups {
		if !known[name] {
			l.drop(name, l.groups[name])
			delete(l.groups, name)
		}
	}
	l.dirtyAll = true
}

// place ranks the hosts for every pool. Rankings that a change of the hosts does
// not touch are kept: ranking 5,500 hosts for 6,800 pools takes longer than the
// read lease, and a manifest that changes one pool comes every 13 s.
func (l *Loop) place(now time.Time) {
	hosts := l.members.Placeable()
	change := placement.Diff(l.placed, hosts)
	l.placed = hosts
	for name, g := range l.groups {
		l.rank(name, g, change)
		l.setGroup(now, name, g)
	}
	l.dirtyAll = true
}

// rank brings the group's ranking up to date after a change of the hosts.
func (l *Loop) rank(name string, g *group, change placement.Change) {
	if g.ranked == nil {
		g.ranked = placement.Rank(name, l.placed, candidateCount)
	} else {
		g.ranked = placement.Rerank(name, g.ranked, change, l.placed, candidateCount)
	}
	if g.candidates != nil && change.Empty() {
		return
	}
	g.candidates = make([]string, len(g.ranked))
	for i, h := range g.ranked {
		g.candidates[i] = h.Address
	}
}

// setGroup tells the machine of its endpoints and candidates, and creates or
// drops the machine.
func (l *Loop) setGroup(now time.Time, name string, g *group) {
	if !l.isCandidate(g) && (g.machine == nil || g.machine.Idle()) {
		l.drop(name, g)
		return
	}
	if g.machine == nil {
		g.machine = claim.New(claim.Config{
			Group:       name,
			Address:     l.cfg.Address,
			Incarnation: l.cfg.Incarnation,
			Holder:      l.holder,
			Seed:        l.cfg.Seed,
		})
		l.active[name] = g
	}
	l.step(now, name, g, claim.SetGroup{Endpoints: claimEndpoints(g.pool), Candidates: g.candidates})
	if l.leaving {
		l.step(now, name, g, claim.Leave{})
	}
	if g.owner.Term > 0 {
		l.step(now, name, g, claim.HeartbeatReceived{Owner: g.owner})
		g.owner = claim.Owner{}
	}
}

func (l *Loop) drop(name string, g *group) {
	if g.machine == nil {
		return
	}
	g.owner = g.state.Owner
	g.machine, g.state = nil, claim.State{}
	g.renewLease()
	delete(l.active, name)
	l.dirty[name] = true
}

func (l *Loop) isCandidate(g *group) bool {
	for _, a := range g.candidates {
		if a == l.cfg.Address {
			return true
		}
	}
	return false
}
