package gateway

import "time"

const (
	// memberSuspectAfter is the time without contact after which a host no longer
	// counts as live. Hosts exchange news several times in it.
	memberSuspectAfter = 1200 * time.Millisecond
	// memberRetry is the pause before a host that did not answer is called again.
	memberRetry = 500 * time.Millisecond
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
	// called is when the host was last called.
	called  time.Time
	leaving bool
	// through is what the member's mirrors reach to.
	through map[TableName]uint64
}

// live reports whether the host is thought to run. A member counts as live for a
// while after it became known, as a first contact takes time.
func (m *member) live(now time.Time) bool {
	return !m.leaving && (now.Sub(m.heard) < memberSuspectAfter || now.Sub(m.known) < memberSuspectAfter)
}
