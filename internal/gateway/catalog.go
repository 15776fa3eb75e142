package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/access"
	"github.com/beryltrestle/beryltrestle/coord/admission"
)

// Consistency is the consistency that a database's reads require.
type Consistency uint8

// Consistency levels.
const (
	// ConsistencyPrimary: reads run on the primary and see every acknowledged commit.
	ConsistencyPrimary Consistency = iota
	// ConsistencyBounded: reads see every commit older than MaxStaleness.
	ConsistencyBounded
	// ConsistencySession: as ConsistencyBounded, and reads see the session's own
	// commits.
	ConsistencySession
)

// Database is the configuration of one database that callers can connect to.
type Database struct {
	Name        string
	Group       string
	Consistency Consistency
	// MaxStaleness limits the age of the data for levels that allow reads from
	// replicas.
	MaxStaleness time.Duration
	// Timeout limits the time for one statement.
	Timeout time.Duration
	// LatencyObjective is the response time that callers want; zero means no objective.
	LatencyObjective time.Duration
	// Priority orders waiting statements; 0 is the highest priority.
	Priority int
	// KeyRequired is true if only callers with the key of a team may use the database.
	KeyRequired bool
}

// queuedRequest returns the queue parameters of a statement that arrived at the given
// time.
func (d Database) queuedRequest(arrived time.Time) admission.QueuedRequest {
	queued := admission.QueuedRequest{Priority: d.Priority, Arrived: arrived, Deadline: arrived.Add(d.Timeout)}
	if d.LatencyObjective > 0 {
		queued.Objective = arrived.Add(d.LatencyObjective)
	}
	return queued
}

// Group is the configuration of one database group.
type Group struct {
	Name string
	// MaxConnections limits the connections of all hosts together to one endpoint.
	MaxConnections int
	// SyncReplicas is the number of replicas that must confirm a commit.
	SyncReplicas int
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version   uint64
	Databases map[string]Database
	Groups    map[string]Group
	// Teams holds the teams and their keys.
	Teams *access.Directory
	// IdleTransactionTimeout is how long a transaction may be idle between statements.
	IdleTransactionTimeout time.Duration
}
