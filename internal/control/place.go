package control

import (
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/placement"
)

// hostChanges is the difference between two host lists. A changed host counts
// as removed and added.
type hostChanges struct {
	removed map[string]bool
	added   []placement.Host
}

func diffHosts(before, after []placement.Host) hostChanges {
	old := make(map[string]placement.Host, len(before))
	for _, h := range before {
		old[h.Name] = h
	}
	c := hostChanges{removed: make(map[string]bool)}
	for _, h := range after {
		if o, ok := old[h.Name]; !ok || o != h {
			c.added = append(c.added, h)
		}
		if old[h.Name] == h {
			delete(old, h.Name)
		}
	}
	for name := range old {
		c.removed[name] = true
	}
	return c
}

// touches reports whether a ranking contains a removed host.
func (c hostChanges) touches(ranked []placement.Host) bool {
	return slices.ContainsFunc(ranked, func(h placement.Host) bool { return c.removed[h.Name] })
}

// place ranks the hosts for every pool. Only pools that lose a candidate, or
// are new, are ranked over all hosts; for the others, added hosts compete with
// the present candidates. With thousands of pools and hosts, a full ranking
// takes long enough to delay heartbeats.
func (l *Loop) place(now time.Time) {
	hosts := l.members.Placeable()
	changes := diffHosts(l.placed, hosts)
	l.placed = hosts
	ranker := placement.NewRanker(hosts)
	for name, g := range l.groups {
		ranked := g.ranked
		switch {
		case ranked == nil || changes.touches(ranked):
			ranked = ranker.Rank(name, candidateCount)
		case len(changes.added) > 0:
			ranked = placement.Rank(name, append(slices.Clone(ranked), changes.added...), candidateCount)
		}
		if g.changed || !slices.Equal(ranked, g.ranked) {
			l.setRanking(now, name, g, ranked)
		}
	}
}

func (l *Loop) setRanking(now time.Time, name string, g *group, ranked []placement.Host) {
	g.changed = false
	g.ranked = ranked
	g.candidates = make([]string, len(ranked))
	for i, h := range ranked {
		g.candidates[i] = h.Address
	}
	l.dirty[name] = true
	l.setGroup(now, name, g)
}
