package claim

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// Role is the role of an endpoint in its group.
type Role uint8

// Roles of an endpoint.
const (
	// RoleReplica follows a primary.
	RoleReplica Role = iota
	// RolePrimary accepts writes.
	RolePrimary
	// RoleFenced was the primary of an earlier term and accepts no writes, because the
	// endpoint was advanced to a higher term.
	RoleFenced
)

// Status is what an endpoint reports about itself.
type Status struct {
	Role Role
	// Term is the highest term that the endpoint was advanced to.
	Term uint64
	// Holder identifies the daemon process that advanced the endpoint to Term.
	Holder string
	// AppointedTerm is the term of the endpoint's last promotion or follow.
	AppointedTerm uint64
	// Primary is the address that a replica follows.
	Primary string
	// Received is the end of the endpoint's log.
	Received logpos.Position
	// Applied is the position up to which queries on the endpoint see the log.
	Applied logpos.Position
}

// EndpointState is the last known state of an endpoint.
type EndpointState struct {
	Status Status
	// PolledAt is when the call that returned Status started; zero before the first answer.
	PolledAt time.Time
	// Reachable is true if the last call was answered.
	Reachable bool
}

func (e EndpointState) equalIgnoringPolls(o EndpointState) bool {
	e.PolledAt, o.PolledAt = time.Time{}, time.Time{}
	e.Status.Received, e.Status.Applied = o.Status.Received, o.Status.Applied
	return e == o
}
