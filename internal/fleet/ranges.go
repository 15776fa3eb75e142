package fleet

import (
	"math"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
	fleetv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1"
)

// Ranges of the numbers in messages of other hosts. A number that is too large would make
// every later value look old: a table mirror would accept no change any more, and a fence
// could not be lifted.
const (
	// maxVersion limits the versions of rows. The store counts transactions.
	maxVersion = 1 << 56
	// maxNegativeAge is how far in the future data may lie: a message takes its time before
	// it is filled, and other goroutines update the data meanwhile.
	maxNegativeAge = time.Second
	// maxRelayTimeout limits how long a relayed request may take.
	maxRelayTimeout = time.Hour
	// maxReportHosts limits the hosts of a report, and maxReportCount its other counts.
	maxReportHosts = 1 << 16
	maxReportCount = 1 << 20
	// maxServiceTime limits the mean response time of an endpoint.
	maxServiceTime = time.Hour
	// maxFenceGrace limits how long a fence request may leave work in flight. Hosts ask
	// for less than a second.
	maxFenceGrace = 10 * time.Second
)

// decodeAge converts an age in microseconds. Slightly negative ages become zero, so that the
// data does not look newer than the message. It returns false for other negative ages.
func decodeAge(us int64) (time.Duration, bool) {
	age := micros(us)
	return max(age, 0), age >= -maxNegativeAge
}

// micros converts microseconds to a duration. Values that a duration cannot hold become
// the longest one.
func micros(us int64) time.Duration {
	const limit = math.MaxInt64 / int64(time.Microsecond)
	return time.Duration(max(min(us, limit), -limit)) * time.Microsecond
}

// clampedMicros converts microseconds to a duration from zero to limit.
func clampedMicros(us int64, limit time.Duration) time.Duration {
	return max(min(micros(us), limit), 0)
}

// validFence reports whether the fence's numbers are in range.
func validFence(m *fleetv1.Fence) bool {
	return m.GetTerm() <= logpos.MaxTerm && m.GetEndedTerm() <= m.GetTerm() && m.GetVersion() <= maxVersion
}

// validPosition reports whether the position's numbers are in range.
func validPosition(m *fleetv1.Position) bool { return decodePosition(m).InRange() }

// validGroup reports whether the numbers of a group's state are in range.
func validGroup(m *fleetv1.GroupNews) bool {
	_, ok := decodeAge(m.GetAgeUs())
	return ok && m.GetTerm() <= logpos.MaxTerm && validFence(m.GetFence()) && validPosition(m.GetPosition())
}

// validReport reports whether the numbers of a report on an endpoint are in range.
func validReport(m *fleetv1.EndpointReport) bool {
	_, ok := decodeAge(m.GetAgeUs())
	service := micros(m.GetServiceUs())
	return ok && m.GetHosts() <= maxReportHosts && m.GetRank() < m.GetHosts() && service >= 0 && service <= maxServiceTime &&
		max(m.GetLimit(), m.GetInFlight(), m.GetWaiting(), m.GetLastPriority()) <= maxReportCount
}

// validChanges reports whether the versions of a table's changes are in range and no row is
// newer than the version up to which the changes are complete.
func validChanges(m *fleetv1.TableNews) bool {
	if m.GetThrough() > maxVersion || m.GetFrom() > m.GetThrough() {
		return false
	}
	for _, r := range m.GetRows() {
		if r.GetVersion() > maxVersion {
			return false
		}
	}
	return true
}

// validReply reports whether the code and the transaction state of an answer are known to
// this build and its position is in range.
func validReply(m *fleetv1.RelayResponse) bool {
	return m.GetCode() <= uint32(gateway.LastCode) && m.GetState() <= uint32(gateway.TxFailed) && validPosition(m.GetPosition())
}
