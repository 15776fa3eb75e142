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

// SetManifest puts a manifest into force, unless its generation is at or below
// the one in force. The caller must not change the document afterwards.
func (l *Loop) SetManifest(generation uint64, doc *manifest.Document) {
	l.post(context.Background(), func(now time.Time) { l.setManifest(now, generation, doc) })
}

// SetHosts updates the platform's host list, unless the loop has a newer version.
func (l *Loop) SetHosts(hosts platform.HostListSnapshot) {
	l.post(context.Background(), func(now time.Time) {
		listed := make([]membership.ListedHost, len(hosts.Hosts))
		for i, h := range hosts.Hosts {
			listed[i] = membership.ListedHost{Name: h.Name, Leaving: h.State == platform.HostLeaving}
		}
		if l.members.SetHostList(hosts.Version, listed) {
			l.updatePlacement(now)
		}
	})
}

// ReportEndpointError implements Controller.
func (l *Loop) ReportEndpointError(pool, address string) {
	l.postToMachine(context.Background(), pool, claim.TrafficError{Address: address})
}

// ReportTerm implements Controller.
func (l *Loop) ReportTerm(pool string, term uint64) {
	l.postToMachine(context.Background(), pool, claim.TermObserved{Term: term})
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
	l.updatePlacement(now)
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
			l.dropMachine(name, l.groups[name])
			delete(l.groups, name)
		}
	}
	l.allChanged = true
}

// updatePlacement ranks the hosts for every pool. It reuses the rankings that a
// change of the hosts does not affect: ranking 5,500 hosts for 6,800 pools takes
// longer than the read lease, and a manifest that changes one pool arrives every
// 13 s.
func (l *Loop) updatePlacement(now time.Time) {
	hosts := l.members.Placeable()
	change := placement.Diff(l.placedHosts, hosts)
	l.placedHosts = hosts
	for name, g := range l.groups {
		l.rankCandidates(name, g, change)
		l.updateMachine(now, name, g)
	}
	l.allChanged = true
}

// rankCandidates updates the group's ranking after a change of the hosts.
func (l *Loop) rankCandidates(name string, g *group, change placement.Change) {
	if g.rankedHosts == nil {
		g.rankedHosts = placement.Rank(name, l.placedHosts, candidatesPerGroup)
	} else {
		g.rankedHosts = placement.Rerank(name, g.rankedHosts, change, l.placedHosts, candidatesPerGroup)
	}
	if g.candidates != nil && change.Empty() {
		return
	}
	g.candidates = make([]string, len(g.rankedHosts))
	for i, h := range g.rankedHosts {
		g.candidates[i] = h.Address
	}
}

// updateMachine creates or drops the group's machine as this daemon becomes or
// ceases to be a candidate, and passes it the endpoints and candidates.
func (l *Loop) updateMachine(now time.Time, name string, g *group) {
	if !l.isCandidate(g) && (g.machine == nil || g.machine.Idle()) {
		l.dropMachine(name, g)
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
		l.activeGroups[name] = g
	}
	l.stepMachine(now, name, g, claim.SetGroup{Endpoints: claimEndpoints(g.pool), Candidates: g.candidates})
	if l.leaving {
		l.stepMachine(now, name, g, claim.Leave{})
	}
	if g.owner.Term > 0 {
		l.stepMachine(now, name, g, claim.HeartbeatReceived{Owner: g.owner})
		g.owner = claim.Owner{}
	}
}

// dropMachine removes the group's machine and keeps the owner that it knew.
func (l *Loop) dropMachine(name string, g *group) {
	if g.machine == nil {
		return
	}
	g.owner = g.state.Owner
	g.machine, g.state = nil, claim.State{}
	g.updateLease()
	delete(l.activeGroups, name)
	l.changedGroups[name] = true
}

func (l *Loop) isCandidate(g *group) bool {
	for _, a := range g.candidates {
		if a == l.cfg.Address {
			return true
		}
	}
	return false
}
