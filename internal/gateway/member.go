package gateway

import "time"

const (
	// memberRetryDelay is the pause before a host that did not answer is called again.
	memberRetryDelay = 400 * time.Millisecond
	// failuresUntilUnresponsive is the number of consecutive failed calls after which a
	// host no longer counts as alive. A refused connection is enough on its own.
	failuresUntilUnresponsive = 2
	// unresponsiveLifetime is how long failed calls to a host count if it has not been called
	// again. In a large fleet a host calls any other one only about once in a hundred seconds,
	// so that hosts would otherwise go on to disagree on who is alive, and so on the relay hosts
	// and the readers of the store, after a network partition has ended. In a small fleet every
	// host is called within permission.Duration.
	unresponsiveLifetime = 5 * time.Second
	// reportLifetime is how long another host's report about an unresponsive host
	// counts.
	reportLifetime = 3 * time.Second
)

// member is the state of another host.
type member struct {
	hostRecord
	// lastContact is when the host last answered a call or called this host.
	lastContact time.Time
	// answeredAt is when the latest call began that the host answered with all claims and
	// changes of the electorate that it knows.
	answeredAt time.Time
	// knownSince is when this host learned of the member's incarnation.
	knownSince time.Time
	failedAt   time.Time
	// failures is the number of consecutive failed calls.
	failures int
	// reportedUnresponsiveAt is when another host last reported that the host does not
	// answer.
	reportedUnresponsiveAt time.Time
	// reportedFailureAt is when a call of any other host to this one last failed,
	// according to gossip.
	reportedFailureAt time.Time
	// calledAt is when the host was last called.
	calledAt time.Time
	// callInFlight is true while a gossip call to the host is not answered.
	callInFlight bool
	leaving      bool
	// mirrorVersions holds the versions up to which the host's mirrors are complete.
	mirrorVersions map[TableName]uint64
}

// recordReportedFailure records that a call to the host failed at the given time,
// according to another host. Reports from before knownSince are ignored, as they may be
// about an earlier incarnation.
func (m *member) recordReportedFailure(at time.Time) {
	if at.After(m.knownSince) && at.After(m.reportedFailureAt) {
		m.reportedFailureAt = at
	}
}

// lastFailureAt returns when a call to the host last failed, here or on other hosts. It
// returns zero if the host has been in contact since.
func (m *member) lastFailureAt() time.Time {
	at := m.reportedFailureAt
	if m.failures >= failuresUntilUnresponsive && m.failedAt.After(at) {
		at = m.failedAt
	}
	if at.Before(m.lastContact) {
		return time.Time{}
	}
	return at
}

// failedRecently reports whether the last call to the host has just failed.
func (m *member) failedRecently(now time.Time) bool {
	return m.failures > 0 && now.Sub(m.failedAt) < memberRetryDelay
}

// alive reports whether the host is considered to be running: calls to it have not
// failed, here or on another host, since its last contact.
func (m *member) alive(now time.Time) bool {
	if m.leaving || m.failures >= failuresUntilUnresponsive && now.Sub(m.failedAt) < unresponsiveLifetime {
		return false
	}
	return m.reportedUnresponsiveAt.IsZero() || m.reportedUnresponsiveAt.Before(m.lastContact) || now.Sub(m.reportedUnresponsiveAt) > reportLifetime
}
