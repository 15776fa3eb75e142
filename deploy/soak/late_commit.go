package soak

import (
	"fmt"
	"time"
)

// lateCommit is a commit that a primary made after it had been replaced. A promotion rolls it back,
// unless its endpoint leaves before.
type lateCommit struct {
	commit
	endpoint, successor string
	// first is the first commit that the successor's log has of later terms; nil if there is none.
	first *commit
}

// firstCommitAfter returns the first commit with statements in the endpoint's log whose term is
// above the given one; nil if there is none. The group's mutex must be held.
func (e *endpoint) firstCommitAfter(term uint64) *commit {
	for i := range e.log {
		if e.log[i].position.Term > term && len(e.log[i].ids) > 0 {
			return &e.log[i]
		}
	}
	return nil
}

// describeLateCommits describes the commits that replaced primaries made after a commit of their
// successor, and how many statements that need the primary ran elsewhere without them. They are not
// violations: an endpoint that stands still may have read a statement before, and no host can keep
// it from running that. Both mutexes must be held.
func (r *recorder) describeLateCommits(g *group) (out []string) {
	acknowledged := make(map[string]bool)
	for _, w := range r.writes {
		acknowledged[w.id] = !w.acknowledged.IsZero()
	}
	for _, c := range g.lateCommits {
		if c.first == nil {
			continue
		}
		reading, sentAt := "the endpoint's answer", r.sent[c.ids[0]]
		if sentAt.After(c.first.committedAt) {
			reading = "the caller's first byte and the endpoint's answer"
		}
		told := "was not told"
		if acknowledged[c.ids[0]] {
			told = "was told"
		}
		byCaller, byEndpoint := r.lacking(g, c)
		out = append(out, fmt.Sprintf("REPLACED by %s: %s was sent %s and committed at %s %s after %s at its successor %s, and its caller %s; %d later statements at other primaries lack it by the caller's first byte, %d by the first byte at the endpoint",
			reading, c.ids[0], ago(sentAt, c.first.committedAt), c.endpoint, c.committedAt.Sub(c.first.committedAt), c.first.ids[0], c.successor, told, byCaller, byEndpoint))
	}
	return out
}

// ago describes when a time was relative to a commit.
func ago(at, commit time.Time) string {
	if at.Before(commit) {
		return fmt.Sprintf("%s before", commit.Sub(at))
	}
	return fmt.Sprintf("%s after", at.Sub(commit))
}

// lacking counts the statements that need the primary, ran at primaries of later terms and began
// after the commit: by the caller's first byte, and by the first byte at the endpoint.
func (r *recorder) lacking(g *group, c lateCommit) (byCaller, byEndpoint int) {
	for _, x := range g.executions {
		sentAt, needsPrimary := r.sent[x.id]
		if !needsPrimary || x.endpoint == c.endpoint || x.logEnd.Term <= c.position.Term {
			continue
		}
		if sentAt.After(c.committedAt) {
			byCaller++
		}
		if x.beganAt.After(c.committedAt) {
			byEndpoint++
		}
	}
	return byCaller, byEndpoint
}

// lateCommits describes the commits of replaced primaries.
func (r *runner) lateCommits() []string {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return r.recorder.describeLateCommits(r.group)
}
