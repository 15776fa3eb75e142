package claim

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// Role of an endpoint in its group.
type Role uint8

// Roles of an endpoint.
const (
	// RoleReplica follows a primary.
	RoleReplica Role = iota
	// RolePrimary accepts writes.
	RolePrimary
	// RoleFenced was a primary of a term below the endpoint's current term.
	RoleFenced
)

// Status is what one endpoint reports of itself.
type Status struct {
	Role Role
	// Term is the highest term that the endpoint was advanced to.
	Term uint64
	// Holder advanced the endpoint to Term.
	Holder string
	// AppointedTerm is the term of the last promotion or follow.
	AppointedTerm uint64
	// Primary is the address that a replica follows.
	Primary string
	// Received is the end of the endpoint's log.
	Received logpos.Position
	// Applied is the position that queries on the endpoint see.
	Applied logpos.Position
}

// EndpointState is the last known state of an endpoint.
type EndpointState struct {
	Status Status
	// PolledAt is when the call that returned Status started; zero if never.
	PolledAt time.Time
	// Reachable is false after a failed call.
	Reachable bool
}

func (e EndpointState) similar(o EndpointState) bool {
	e.PolledAt, o.PolledAt = time.Time{}, time.Time{}
	e.Status.Received, e.Status.Applied = o.Status.Received, o.Status.Applied
	return e == o
}
