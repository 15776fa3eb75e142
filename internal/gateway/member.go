package gateway

import "time"

const (
	// memberRetry is the pause before a host that did not answer is called again.
	memberRetry = 400 * time.Millisecond
	// suspectFailures is how many calls in a row must fail until a host no longer
	// counts as live; a refused connection counts for all of them.
	suspectFailures = 2
	// reportHolds is how long another host's report of a silent host is believed.
	reportHolds = 3 * time.Second
)

// member is another host.
type member struct {
	hostRecord
	// heard is the last contact in either direction.
	heard time.Time
	// answered is when the last call began that the host answered, or that showed
	// that its process does not run.
	answered time.Time
	// known is when this host learned of the member.
	known  time.Time
	failed time.Time
	// failures counts the calls in a row that failed.
	failures int
	// reported is when another host last told that the host does not answer.
	reported time.Time
	// unanswered is when a call to the host last failed at any other host, as far as that
	// was passed on.
	unanswered time.Time
	// called is when the host was last called.
	called  time.Time
	leaving bool
	// through is what the member's mirrors reach to.
	through map[TableName]uint64
}

// reportUnanswered takes word of a call to the host that failed at the time. Word from
// before this host knew the incarnation may be about an earlier one.
func (m *member) reportUnanswered(at time.Time) {
	if at.After(m.known) && at.After(m.unanswered) {
		m.unanswered = at
	}
}

// unansweredAt returns when a call to the host last failed, here or elsewhere; zero if it
// has been heard of since.
func (m *member) unansweredAt() time.Time {
	at := m.unanswered
	if m.failures >= suspectFailures && m.failed.After(at) {
		at = m.failed
	}
	if at.Before(m.heard) {
		return time.Time{}
	}
	return at
}

// live reports whether the host is thought to run: it does until calls to it fail,
// here or at another host, after it was last heard of.
func (m *member) live(now time.Time) bool {
	if m.leaving || m.failures >= suspectFailures {
		return false
	}
	return m.reported.IsZero() || m.reported.Before(m.heard) || now.Sub(m.reported) > reportHolds
}
