package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

const (
	// replicaLag is the replication delay, as at the users' sites.
	replicaLag = 20 * time.Millisecond
	// promotionTime is how long a promotion takes.
	promotionTime = 300 * time.Millisecond
	// oldPrimaryDemotionDelay is how long a replaced primary still accepts writes, unless
	// it is demoted earlier.
	oldPrimaryDemotionDelay = time.Second
)

// formatPosition renders a position in the form of the platform's line protocol.
func formatPosition(p logpos.Position) string { return fmt.Sprintf("%d.%d", p.Term, p.Offset) }

// commit is one entry of a log. ids are the IDs of the statements that wrote the data.
type commit struct {
	position    logpos.Position
	ids         []string
	data        map[string]string
	committedAt time.Time
}

// endpoint is one endpoint of the group. Its fields are guarded by the group's mutex.
type endpoint struct {
	id      string
	address string
	// proxy carries the connections to the endpoint. An endpoint that takes over the address of
	// another one takes over its proxy.
	proxy   *proxy
	primary bool
	down    bool
	// leaving is true once the endpoint is being replaced as planned, and draining once it has
	// announced that.
	leaving, draining bool
	// removedRow is true if the endpoint has left and removed its row itself.
	removedRow bool
	// failShare is the share of its requests that the endpoint fails without an effect, although it
	// reports itself as healthy.
	failShare float64
	// replicationStopped keeps a replica from receiving log entries.
	replicationStopped bool
	// isolated keeps the endpoint from reaching the other endpoints.
	isolated bool
	// resumed is closed when the endpoint runs again; nil unless it stands still. stalledAt is
	// when it last began to stand still, ranSince when it had begun to run before that, and
	// resumedAt when it last began to run again.
	resumed                        chan struct{}
	stalledAt, ranSince, resumedAt time.Time
	term                           uint64
	log                            []commit
	startedAt                      int64
	openConns                      int
}

// logEnd returns the position of the last entry in the endpoint's log.
func (e *endpoint) logEnd() logpos.Position {
	if len(e.log) == 0 {
		return logpos.Position{Term: 1}
	}
	return e.log[len(e.log)-1].position
}

// group is a stand-in for one replicated database.
type group struct {
	name string

	mu sync.Mutex
	// endpoints holds the endpoints that have not left, and created counts all that ever were.
	endpoints []*endpoint
	created   int
	// term is the newest term.
	term uint64
	// former holds the endpoints that have left.
	former []*endpoint
	// commitCounts counts how often each statement ID was committed on any endpoint,
	// including commits that were rolled back later.
	commitCounts map[string]int
	// rolledBack holds the statement IDs whose commits a promoted endpoint lacked, or that were
	// removed from a log later.
	rolledBack map[string]bool
	// committedByOldPrimary holds the statement IDs that a replaced primary committed.
	committedByOldPrimary map[string]bool
	// lateCommits lists the commits of replaced primaries.
	lateCommits []lateCommit
	// promotions lists the promotions in their order.
	promotions []promotion
	// onPromotion, if set, is called with mu held when a promotion takes effect.
	onPromotion func(e *endpoint, p promotion)
	// executions lists the reads and writes that any endpoint executed.
	executions []execution
	// users holds the names under which connections were opened.
	users map[string]bool
}

// execution is a read or a write that an endpoint executed on a log that ended at logEnd.
type execution struct {
	id, endpoint string
	receivedAt   time.Time
	logEnd       logpos.Position
	// beganAt is when the endpoint received the statement, or the BEGIN of its transaction.
	beganAt time.Time
	// waited is how long the statement waited in the connection until the endpoint read it.
	// stalledAt is when the endpoint last began to stand still; zero if it never did. ranSince is
	// when it had begun to run before that.
	waited              time.Duration
	stalledAt, ranSince time.Time
	// user is the name under which the connection was opened, and who the value of the session that was
	// set on it.
	user, who string
	// first is true for a single statement and for the first statement of a transaction.
	first bool
}

// promotion is the promotion of an endpoint with the host that requested it and the request's fencing
// token.
type promotion struct {
	holder   string
	fence    uint64
	endpoint string
}

func newGroup(name string, endpoints int) *group {
	g := &group{name: name, term: 1, commitCounts: make(map[string]int), users: make(map[string]bool), rolledBack: make(map[string]bool), committedByOldPrimary: make(map[string]bool)}
	for n := range endpoints {
		g.add(&endpoint{term: 1, primary: n == 0})
	}
	return g
}

// add adds an endpoint and gives it a new ID. g.mu must be held, unless the group is not yet in use.
func (g *group) add(e *endpoint) {
	e.id, e.startedAt = fmt.Sprintf("i-%d", g.created), time.Now().UnixMilli()
	g.created++
	g.endpoints = append(g.endpoints, e)
}

// list returns the endpoints that have not left.
func (g *group) list() []*endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.endpoints)
}

// primary returns the primary of the newest term, or nil.
func (g *group) primary() *endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.currentPrimary()
}

// currentPrimary returns the primary of the newest term, or nil. A primary of an earlier term has
// been replaced, also if its successor has left. g.mu must be held.
func (g *group) currentPrimary() *endpoint {
	for _, e := range g.endpoints {
		if e.primary && e.term == g.term {
			return e
		}
	}
	return nil
}

// hasSuccessor reports whether a primary of a newer term than the endpoint's has committed a
// write.
func (g *group) hasSuccessor(e *endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.currentPrimary()
	return current != nil && current.term > e.term && current.firstCommitAfter(e.term) != nil
}

// commit appends the writes to the endpoint's log. The endpoint acts as primary, but may
// have been replaced. g.mu must be held.
func (g *group) commit(e *endpoint, ids []string, data map[string]string) {
	for _, id := range ids {
		g.commitCounts[id]++
		if g.term > e.term {
			g.committedByOldPrimary[id] = true
		}
	}
	at := logpos.Position{Term: e.term, Offset: e.logEnd().Offset + 1}
	c := commit{position: at, ids: ids, data: data, committedAt: time.Now()}
	if current := g.currentPrimary(); current != nil && current != e {
		g.lateCommits = append(g.lateCommits, lateCommit{commit: c, endpoint: e.id, successor: current.id, first: current.firstCommitAfter(e.term)})
	}
	e.log = append(e.log, c)
}

// replicate copies the primary's log entries that are older than the replication delay
// to the replicas.
func (g *group) replicate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	primary := g.currentPrimary()
	if primary == nil || primary.down || primary.isolated || primary.stalled() {
		return
	}
	for _, e := range g.endpoints {
		if e == primary || e.primary || e.down || e.replicationStopped || e.isolated || e.stalled() {
			continue
		}
		g.syncReplica(e, primary)
	}
}

// syncReplica makes the replica's log follow the primary's: it removes entries that the
// primary does not have and appends those older than the replication delay.
func (g *group) syncReplica(replica, primary *endpoint) {
	replica.term = primary.term
	same := sharedEntries(replica.log, primary.log)
	g.recordRollback(replica.log[same:])
	replica.log = replica.log[:same]
	for _, c := range primary.log[same:] {
		if time.Since(c.committedAt) < replicaLag {
			return
		}
		replica.log = append(replica.log, c)
	}
}

// sharedEntries returns the number of entries at the start that both logs have.
func sharedEntries(a, b []commit) int {
	n := 0
	for n < len(a) && n < len(b) && a[n].position == b[n].position {
		n++
	}
	return n
}

// recordRollback records the statement IDs of commits that are removed from a log.
func (g *group) recordRollback(rolledBack []commit) {
	for _, c := range rolledBack {
		for _, id := range c.ids {
			g.rolledBack[id] = true
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
	for _, e := range g.endpoints {
		if e.id == id && !e.down {
			next = e
		}
	}
	if next == nil {
		return false
	}
	if next == g.currentPrimary() {
		return true
	}
	g.promotions = append(g.promotions, promotion{holder: holder, fence: fence, endpoint: id})
	g.term++
	term := g.term
	for _, old := range g.endpoints {
		if old != next && old.primary {
			time.AfterFunc(oldPrimaryDemotionDelay, func() { g.demote(old, term) })
		}
	}
	// An endpoint whose log has them may be promoted later and bring them back. In between they
	// are gone.
	for _, e := range slices.Concat(g.endpoints, g.former) {
		g.recordRollback(e.log[sharedEntries(e.log, next.log):])
	}
	// A term starts with an entry without data, which marks the end of the earlier terms.
	next.primary, next.term = true, term
	next.log = append(next.log, commit{position: logpos.Position{Term: next.term, Offset: next.logEnd().Offset + 1}, committedAt: time.Now()})
	if g.onPromotion != nil {
		g.onPromotion(next, g.promotions[len(g.promotions)-1])
	}
	return true
}

// demote makes the endpoint a replica if it is the primary of a term below the given one,
// once it can reach the other endpoints and has run for oldPrimaryDemotionDelay.
func (g *group) demote(e *endpoint, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.isolated || e.stalled() || time.Since(e.resumedAt) < oldPrimaryDemotionDelay {
		time.AfterFunc(oldPrimaryDemotionDelay, func() { g.demote(e, term) })
		return
	}
	if e.primary && e.term < term && !e.down {
		e.primary = false
	}
}

// crash stops the endpoint and keeps its log.
func (g *group) crash(e *endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e.down = true
}

// restart starts the endpoint again, as a replica if another endpoint is the primary, and
// ends its faults. An endpoint that has left does not start again.
func (g *group) restart(e *endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Contains(g.former, e) {
		return
	}
	e.down, e.replicationStopped, e.isolated, e.failShare, e.startedAt = false, false, false, 0, time.Now().UnixMilli()
	g.resumeLocked(e)
	if current := g.currentPrimary(); current != e {
		e.primary = false
	}
}
