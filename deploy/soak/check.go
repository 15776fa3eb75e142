package soak

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// write is one write of a caller with its outcome.
type write struct {
	id, item string
	value    int
	// acknowledged is when the caller got the answer that the write succeeded; zero if
	// it did not.
	acknowledged time.Time
	// refused is true if the answer guaranteed that the write had no effect, or if its
	// transaction was not committed.
	refused bool
}

// read is one successful read of a caller.
type read struct {
	id, item, session string
	value             int
	// freshAt is the time for which the read must be fresh: all writes acknowledged
	// before must be visible.
	freshAt time.Time
	// own is the last value whose write was acknowledged in the same session before.
	own int
}

// outcomeUnknown reports whether the write may still be committed after the caller got its
// answer or gave up.
func (w write) outcomeUnknown() bool { return w.acknowledged.IsZero() && !w.refused }

// committed reports whether the log with the given places contains the statement.
func committed(places map[string]int, id string) bool {
	_, ok := places[id]
	return ok
}

// committedAfter reports whether the log contains both statements, and the first one after
// the second.
//
// A caller writes increasing values one after the other, so that a read of a lower value
// than an acknowledged one is stale. The exception is a lower value whose own write has an
// unknown outcome: a host that was paused may commit it after the caller's next write.
func committedAfter(places map[string]int, first, second string) bool {
	return committed(places, first) && committed(places, second) && places[first] > places[second]
}

// recorder collects the operations of callers with their outcomes. It is safe for
// concurrent use.
type recorder struct {
	mu     sync.Mutex
	writes []write
	reads  []read
	// sent holds when the first byte of each statement that needs the primary, or of its
	// transaction, was sent.
	sent map[string]time.Time
	// violations describes the guarantees that were broken. Each description starts with
	// the name of its rule:
	//
	//	DENIED   a key was refused although it was in force
	//	DRAIN    a host that got SIGTERM did not exit within its grace period
	//	LOST     an acknowledged write is missing on the primary
	//	MIXED    an answer belongs to another statement
	//	ONE      a replaced primary got a write acknowledged, or a promotion had a lower
	//	         fencing token than the one before, or the same from another host
	//	PINNED   a statement ran with the session values of another caller, whether or not its answer
	//	         reached a caller
	//	QUOTA    too many operations of a team ran within the window of its limit
	//	RECOVER  a host did not serve after the last fault, or there was not one primary
	//	REFUSED  a write that was refused, or whose transaction was not committed, is stored
	//	REVOKED  a statement ran whose key had been withdrawn
	//	STALE    a read returned older data than its consistency permits, or a statement that
	//	         needs the primary was executed on a log that lacks an earlier commit
	//	TWICE    a write was committed more than once
	//	UNASKED  a write was committed that no caller sent
	//	USER     a statement ran under another name than that of its team, or an endpoint
	//	         was told a key
	violations []string
	// keyed holds the statements of callers with keys by ID.
	keyed map[string]keyedStatement
	// denied holds the statements whose keys were refused.
	denied []deniedStatement
	// stallGrace is Config.StallGrace, and lateReads describes the statements that it allows.
	stallGrace time.Duration
	lateReads  []string
	// done, refusals and others count the answers; see Report.
	done, refusals, others int
}

// addViolation records that a guarantee was broken.
func (r *recorder) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// addWrite records a write.
func (r *recorder) addWrite(w write) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, w)
}

// addRead records a read.
func (r *recorder) addRead(rd read) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads = append(r.reads, rd)
}

// addSent records when the first byte of a statement, or of its transaction, was sent.
func (r *recorder) addSent(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sent == nil {
		r.sent = make(map[string]time.Time)
	}
	r.sent[id] = at
}

// checkExecutions returns a violation for each statement that needs the primary and was executed
// on a log which lacks a commit that its endpoint had answered before the first byte of the
// statement, or of its transaction. The first byte is taken twice: when the caller sent it, and
// when it reached the endpoint. Commits that a promotion rolled back, or that an endpoint made
// after it was replaced, do not count. A statement that waited at an endpoint which stood still is no
// violation by the second reading if it had arrived within stallGrace: the endpoint answered until
// then, so that no host could know. Both mutexes must be held.
func (r *recorder) checkExecutions(g *group) (violations []string) {
	// The commits of the log are in the order of their positions and of their times.
	var log []commit
	for _, c := range g.currentPrimary().log {
		if len(c.ids) > 0 && !g.committedByOldPrimary[c.ids[0]] && !g.rolledBack[c.ids[0]] {
			log = append(log, c)
		}
	}
	for _, x := range g.executions {
		sentAt, needsPrimary := r.sent[x.id]
		at := sort.Search(len(log), func(i int) bool { return x.logEnd.Less(log[i].position) })
		if !needsPrimary || at == len(log) {
			continue
		}
		for reading, firstByte := range map[string]time.Time{"the caller's first byte": sentAt, "the first byte at the endpoint": x.beganAt} {
			if !log[at].committedAt.Before(firstByte) {
				continue
			}
			found := fmt.Sprintf("STALE by %s: %s was executed at %s on a log up to %s, which lacks %s, answered %s before%s",
				reading, x.id, x.endpoint, formatPosition(x.logEnd), log[at].ids[0], firstByte.Sub(log[at].committedAt), x.delay())
			if firstByte.Equal(x.receivedAt) && x.arrivedAtStall(r.stallGrace) {
				r.lateReads = append(r.lateReads, found)
			} else {
				violations = append(violations, found)
			}
		}
	}
	return violations
}

// checkSessionValues returns a violation for each statement that ran with the value of another caller's
// session. Callers set their name, with which the IDs of their statements begin. The group's mutex must
// be held.
func checkSessionValues(g *group) (violations []string) {
	for _, x := range g.executions {
		if at := strings.LastIndex(x.id, "-"); at > 0 && x.id[:at] != x.who {
			violations = append(violations, fmt.Sprintf("PINNED: %s was executed at %s with the value %q", x.id, x.endpoint, x.who))
		}
	}
	return violations
}

// countAnswer counts an answer.
func (r *recorder) countAnswer(ok, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case ok:
		r.done++
	case refused:
		r.refusals++
	default:
		r.others++
	}
}

// check compares the answers that callers got with the logs of the endpoints, and returns
// all violations. Acknowledged writes that a promotion rolled back are not violations: the
// configuration has SyncReplicas 0, so a commit is acknowledged before replicas have it.
func (r *recorder) check(g *group) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordLeftBehind()
	violations := r.violations
	// kept holds the place of each statement in the primary's log.
	kept := make(map[string]int)
	if primary := g.currentPrimary(); primary != nil {
		for at, c := range primary.log {
			for _, id := range c.ids {
				kept[id] = at
			}
		}
	}
	written := make(map[string]bool)
	byItem := make(map[string][]write)
	unknown := make(map[string]map[int]string)
	for _, w := range r.writes {
		written[w.id] = true
		if w.outcomeUnknown() {
			if unknown[w.item] == nil {
				unknown[w.item] = make(map[int]string)
			}
			unknown[w.item][w.value] = w.id
		}
		acknowledged := !w.acknowledged.IsZero()
		switch {
		case acknowledged && g.committedByOldPrimary[w.id]:
			violations = append(violations, fmt.Sprintf("ONE: %s was acknowledged by a replaced primary", w.id))
		case acknowledged && !committed(kept, w.id) && !g.rolledBack[w.id]:
			violations = append(violations, fmt.Sprintf("LOST: %s was acknowledged and is gone", w.id))
		case w.refused && g.commitCounts[w.id] > 0:
			violations = append(violations, fmt.Sprintf("REFUSED: %s was refused and is stored", w.id))
		}
		if acknowledged && !g.rolledBack[w.id] {
			byItem[w.item] = append(byItem[w.item], w)
		}
	}
	for id, n := range g.commitCounts {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("TWICE: %s was committed %d times", id, n))
		}
		if !written[id] {
			violations = append(violations, fmt.Sprintf("UNASKED: %s was committed and not asked for", id))
		}
	}
	for _, rd := range r.reads {
		for _, w := range byItem[rd.item] {
			required := w.acknowledged.Before(rd.freshAt) || w.value <= rd.own
			if w.value > rd.value && required && !committedAfter(kept, unknown[rd.item][rd.value], w.id) {
				violations = append(violations, fmt.Sprintf("STALE: %s of %s%s saw %d after %d (%s), which was acknowledged %s before it had to be fresh%s",
					rd.id, rd.session, g.describeExecution(rd.id), rd.value, w.value, w.id, rd.freshAt.Sub(w.acknowledged), g.describeCommit(w.id)))
				break
			}
		}
	}
	if g.currentPrimary() != nil {
		violations = append(violations, r.checkExecutions(g)...)
	}
	violations = append(violations, checkSessionValues(g)...)
	for i, p := range g.promotions {
		if i > 0 && (p.fence < g.promotions[i-1].fence || p.fence == g.promotions[i-1].fence && p.holder != g.promotions[i-1].holder) {
			violations = append(violations, fmt.Sprintf("ONE: fence %d of %s follows %d of %s", p.fence, p.holder, g.promotions[i-1].fence, g.promotions[i-1].holder))
		}
	}
	return violations
}
