package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

const (
	// replicaLag is how far replicas are behind, as on the users' sites.
	replicaLag = 20 * time.Millisecond
	// promotionTime is how long a promotion takes.
	promotionTime = 300 * time.Millisecond
	// oldPrimaryLeads is how long a replaced primary goes on leading if nobody demotes it.
	oldPrimaryLeads = time.Second
)

// onWire renders a position as the platform's line protocol does.
func onWire(p logpos.Position) string { return fmt.Sprintf("%d.%d", p.Term, p.Offset) }

// commit is one entry of a log. IDs are those of the statements that wrote.
type commit struct {
	at   logpos.Position
	ids  []string
	data map[string]string
	made time.Time
}

// endpoint is one endpoint of the group, guarded by the group's mutex.
type endpoint struct {
	id      string
	address string
	primary bool
	down    bool
	// deaf replicas receive nothing.
	deaf bool
	term uint64
	log  []commit
	born int64
	open int
}

// end returns the end of the endpoint's log.
func (e *endpoint) end() logpos.Position {
	if len(e.log) == 0 {
		return logpos.Position{Term: 1}
	}
	return e.log[len(e.log)-1].at
}

// group is a stand-in of one replicated database.
type group struct {
	name string

	mu        sync.Mutex
	endpoints []*endpoint
	// stored counts the commits of each write in any log that was ever kept.
	stored map[string]int
	// discarded holds the writes that a promotion rolled back.
	discarded map[string]bool
	// deposed holds the writes that a replaced primary committed.
	deposed map[string]bool
	// fences holds the fence of each promotion with its holder, in their order.
	fences []fencedPromotion
}

// fencedPromotion is one promotion order.
type fencedPromotion struct {
	holder string
	fence  uint64
}

func newGroup(name string, endpoints int) *group {
	g := &group{name: name, stored: make(map[string]int), discarded: make(map[string]bool), deposed: make(map[string]bool)}
	for n := range endpoints {
		g.endpoints = append(g.endpoints, &endpoint{
			id: fmt.Sprintf("i-%d", n), term: 1, primary: n == 0, born: time.Now().UnixMilli(),
		})
	}
	return g
}

// leader returns the primary of the newest term, or nil. The mutex must be held.
func (g *group) leader() *endpoint {
	var best *endpoint
	for _, e := range g.endpoints {
		if e.primary && (best == nil || e.term > best.term) {
			best = e
		}
	}
	return best
}

// commit appends the writes to the log of the endpoint, which takes itself for the
// primary. The mutex must be held.
func (g *group) commit(e *endpoint, ids []string, data map[string]string) {
	leader := g.leader()
	for _, id := range ids {
		g.stored[id]++
		if leader.term > e.term {
			g.deposed[id] = true
		}
	}
	at := logpos.Position{Term: e.term, Offset: e.end().Offset + 1}
	e.log = append(e.log, commit{at: at, ids: ids, data: data, made: time.Now()})
}

// replicate copies what the replicas have had the time to receive.
func (g *group) replicate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	leader := g.leader()
	if leader == nil || leader.down {
		return
	}
	for _, e := range g.endpoints {
		if e == leader || e.primary || e.down || e.deaf {
			continue
		}
		g.follow(e, leader)
	}
}

// follow brings a replica's log in line with the leader's.
func (g *group) follow(e, leader *endpoint) {
	e.term = leader.term
	same := 0
	for same < len(e.log) && same < len(leader.log) && e.log[same].at == leader.log[same].at {
		same++
	}
	g.discard(e.log[same:])
	e.log = e.log[:same]
	for _, c := range leader.log[same:] {
		if time.Since(c.made) < replicaLag {
			return
		}
		e.log = append(e.log, c)
	}
}

// discard notes writes that are rolled back.
func (g *group) discard(rolledBack []commit) {
	for _, c := range rolledBack {
		for _, id := range c.ids {
			g.discarded[id] = true
		}
	}
}

// promote makes the endpoint the primary of the next term. It returns false if the
// endpoint does not run.
func (g *group) promote(id, holder string, fence uint64) bool {
	time.Sleep(promotionTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	var next *endpoint
	term := uint64(0)
	for _, e := range g.endpoints {
		term = max(term, e.term)
		if e.id == id && !e.down {
			next = e
		}
	}
	if next == nil {
		return false
	}
	if next == g.leader() {
		return true
	}
	g.fences = append(g.fences, fencedPromotion{holder: holder, fence: fence})
	for _, old := range g.endpoints {
		if old != next && old.primary {
			time.AfterFunc(oldPrimaryLeads, func() { g.demote(old, term+1) })
		}
	}
	// The first entry of a term tells where the earlier ones end.
	next.primary, next.term = true, term+1
	next.log = append(next.log, commit{at: logpos.Position{Term: next.term, Offset: next.end().Offset + 1}, made: time.Now()})
	return true
}

// demote makes a primary of a lower term a replica.
func (g *group) demote(e *endpoint, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.primary && e.term < term && !e.down {
		e.primary = false
	}
}

// crash stops the endpoint; its log stays.
func (g *group) crash(e *endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.down = true
}

// restart lets the endpoint run again, as a replica if another one leads.
func (g *group) restart(e *endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.down, e.deaf, e.born = false, false, time.Now().UnixMilli()
	if leader := g.leader(); leader != e {
		e.primary = false
	}
}
