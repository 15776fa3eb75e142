package gateway

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/rows"
)

// GroupNews is what a host knows about one group.
type GroupNews struct {
	Group   string
	Term    uint64
	Primary string
	// Position is where the primary's log ended Age ago.
	Position logpos.Position
	Age      time.Duration
	Fence    FenceState
}

// TableNews holds the changes of a table after one version and up to another.
type TableNews struct {
	Table   TableName
	From    uint64
	Through uint64
	Rows    []rows.Row
}

// News is exchanged between hosts.
type News struct {
	Host        string
	Incarnation uint64
	Leaving     bool
	Groups      []GroupNews
	// Ages holds how long ago the sender's mirror of each table was complete; tables
	// that never were are missing.
	Ages map[TableName]time.Duration
	// Silent lists the hosts that do not answer the sender.
	Silent []string
	// Unanswered holds how long ago the last call failed to each host that does not answer
	// the sender or a host that told it.
	Unanswered map[string]time.Duration
	// Through holds the version that the sender's mirror of each table reaches to.
	Through map[TableName]uint64
	Tables  []TableNews
}

// FenceRequest tells a host of a claim.
type FenceRequest struct {
	Group string
	Fence FenceState
	// Ask only asks for evidence, without fencing.
	Ask bool
	// Grace is how long work that is in flight may go on. Open transactions are
	// rolled back after it.
	Grace time.Duration
}

// FenceReply answers a FenceRequest.
type FenceReply struct {
	// Term is the newest term that the host knows to have a primary.
	Term uint64
	// AnsweredAgo is how long ago the primary last answered the host; negative if it
	// never did.
	AnsweredAgo time.Duration
	// Direct means that the host has connections of its own to the primary.
	Direct bool
}

// recent reports whether the primary answered the host within the time.
func (r FenceReply) recent(within time.Duration) bool {
	return r.AnsweredAgo >= 0 && r.AnsweredAgo < within
}

// Peers calls other hosts.
type Peers interface {
	// Exchange sends news and returns the other host's.
	Exchange(ctx context.Context, address string, n News) (News, error)
	Fence(ctx context.Context, address string, r FenceRequest) (FenceReply, error)
	// Relay returns a connection to the endpoint through the host that holds
	// connections to it.
	Relay(address string, e Endpoint) RelayConn
	// NotRunning reports whether a call's error shows that no process serves the
	// address, as opposed to one that cannot be reached.
	NotRunning(err error) bool
}
