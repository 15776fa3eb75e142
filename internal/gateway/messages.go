package gateway

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/quota"
	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/coord/succession"
)

// GroupState is what a host knows about a group.
type GroupState struct {
	Group   string
	Term    uint64
	Primary string
	// Position is the end of the primary's log as of Age ago.
	Position logpos.Position
	Age      time.Duration
	Fence    FenceState
	// Endpoints holds reports on the group's endpoints.
	Endpoints []EndpointReports
}

// TableChanges holds the changes of a table after version From, complete up to version
// Through.
type TableChanges struct {
	Table   TableName
	From    uint64
	Through uint64
	Rows    []rows.Row
}

// GossipMessage is what hosts exchange in a gossip round: the sender's state, and the
// changes of tables that the receiver lacks.
type GossipMessage struct {
	Host        string
	Incarnation uint64
	Leaving     bool
	Groups      []GroupState
	// MirrorAges holds how long ago the sender's mirror of each table was complete.
	// Tables that were never read are missing.
	MirrorAges map[TableName]time.Duration
	// Unresponsive lists the hosts that do not answer the sender.
	Unresponsive []string
	// FailedCallAges holds how long ago a call last failed to each host that does not
	// answer the sender or a host that reported to the sender.
	FailedCallAges map[string]time.Duration
	// MirrorVersions holds the version up to which the sender's mirror of each table is
	// complete.
	MirrorVersions map[TableName]uint64
	Tables         []TableChanges
	// EvidenceAge is how long ago the evidence for the sender's permission to use
	// primaries was true; nil if the sender has none. The claims that the sender knew
	// are the fences of Groups.
	EvidenceAge *time.Duration
	// Invalid is the number of parts that were left out because their numbers are out of
	// range. It is not sent.
	Invalid int
}

// CountInvalid counts a part of the message that is not valid, and returns valid.
func (m *GossipMessage) CountInvalid(valid bool) bool {
	if !valid {
		m.Invalid++
	}
	return valid
}

// FenceRequest asks a host to stop using a primary, or to report on it.
type FenceRequest struct {
	Group string
	Fence FenceState
	// QueryOnly asks for the reply without applying Fence.
	QueryOnly bool
	// Grace is how long work in flight may continue. Transactions that are still open
	// then are rolled back.
	Grace time.Duration
}

// FenceReply answers a FenceRequest.
type FenceReply struct {
	// Term is the term of the newest primary that the host knows.
	Term uint64
	// PrimaryAnsweredAgo is how long ago the primary last answered the host; negative
	// if it never did.
	PrimaryAnsweredAgo time.Duration
	// Direct is true if the host connects to the primary directly.
	Direct bool
	// SettledVersion is the version of TableState up to which the host has known all rows for
	// permission.Duration.
	SettledVersion uint64
}

// reachesPrimary reports whether the primary has just answered the host on a direct connection.
func (r FenceReply) reachesPrimary() bool {
	return r.Direct && r.primaryAnsweredWithin(succession.UnreachableTimeout)
}

// primaryAnsweredWithin reports whether the primary answered the host within the given
// time.
func (r FenceReply) primaryAnsweredWithin(within time.Duration) bool {
	return r.PrimaryAnsweredAgo >= 0 && r.PrimaryAnsweredAgo < within
}

// PeerClient calls other hosts.
type PeerClient interface {
	// Exchange sends a gossip message and returns that of the other host.
	Exchange(ctx context.Context, address string, msg GossipMessage) (GossipMessage, error)
	Fence(ctx context.Context, address string, r FenceRequest) (FenceReply, error)
	// Lend borrows tokens of a team.
	Lend(ctx context.Context, address string, r quota.Request) (quota.Grant, error)
	// Relay returns a connection to the endpoint through the host at the address.
	Relay(address string, e Endpoint) RelayConn
	// Refused reports whether a call failed because its connection was refused, so that
	// nothing was sent. The host's process may run all the same: a network partition may refuse
	// connections, and a process that starts or stops has no listener.
	Refused(err error) bool
}
