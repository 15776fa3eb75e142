// Package platform defines the services of the operators' platform: group
// control, transactional table, object store and host list. There is one
// interface for each service, so that another platform needs only new adapters.
package platform

import (
	"context"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// LogPositionQuery is the SQL query that returns the position ("term/offset")
// that the answering endpoint has applied, in one text column. On a primary
// this is the end of its log. If the query is sent on a connection after a
// commit, the result is an upper bound of the commit's position.
const LogPositionQuery = "SELECT platform_log_position()"

// Role is the role of an endpoint in its group.
type Role string

// Roles of an endpoint.
const (
	// RolePrimary accepts writes.
	RolePrimary Role = "primary"
	// RoleReplica follows a primary.
	RoleReplica Role = "replica"
	// RoleFenced is the role of an endpoint that was the primary of a term lower
	// than its current one; it accepts no writes.
	RoleFenced Role = "fenced"
)

// EndpointStatus is the status that an endpoint reports.
type EndpointStatus struct {
	Role Role
	// Term is the highest term that the endpoint was advanced to. It never
	// decreases.
	Term uint64
	// Holder is the claimant that advanced the endpoint to Term.
	Holder string
	// AppointedTerm is the term of the last Promote or Follow; 0 if none.
	AppointedTerm uint64
	// Primary is the address of the primary that a replica follows.
	Primary string
	// Received is the end of the endpoint's log.
	Received logpos.Position
	// Applied is the log position up to which queries on this endpoint see
	// changes.
	Applied logpos.Position
}

// GroupControl controls the endpoints of database groups. Each call goes to the
// endpoint with the address.
//
// The platform must guarantee: Terms survive restarts of the endpoint and never
// decrease. AdvanceTerm, Promote and Follow are atomic on their endpoint.
// AdvanceTerm ends every session that was opened at a lower term, so that a
// statement still waiting in one can never run in a later term. After
// AdvanceTerm has returned, a primary of a lower term commits nothing. A
// replica accepts no log entries of a term lower than its own.
type GroupControl interface {
	// Status returns the endpoint's state.
	Status(ctx context.Context, address string) (EndpointStatus, error)
	// AdvanceTerm raises the endpoint to the term for the holder. It fails with a
	// *StaleTermError if the endpoint has a higher term, or the same term for
	// another holder. Repeating a successful call succeeds.
	AdvanceTerm(ctx context.Context, address string, term uint64, holder string) (EndpointStatus, error)
	// Promote makes the endpoint the primary of the term and writes the marker,
	// the first log entry of the term. It fails with a *StaleTermError if the
	// endpoint is not at this term for this holder.
	Promote(ctx context.Context, address string, term uint64, holder string) (EndpointStatus, error)
	// Follow makes the endpoint a replica of the primary with the address, at the
	// term. It fails like Promote.
	Follow(ctx context.Context, address string, term uint64, holder, primary string) (EndpointStatus, error)
}
