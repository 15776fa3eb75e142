package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/admission"
)

// Consistency is what a database's reads must see.
type Consistency uint8

// Kinds of consistency.
const (
	// ConsistencyPrimary reads see every acknowledged commit.
	ConsistencyPrimary Consistency = iota
	// ConsistencyBounded reads see every commit older than the bound.
	ConsistencyBounded
	// ConsistencySession reads also see the session's own commits.
	ConsistencySession
)

// Database is one database that callers may name.
type Database struct {
	Name        string
	Group       string
	Consistency Consistency
	// MaxStaleness bounds the age of data for the kinds that may use replicas.
	MaxStaleness time.Duration
	// Timeout limits one statement.
	Timeout time.Duration
	// Objective is how soon callers want their answers; zero means no objective.
	Objective time.Duration
	// Priority orders waiting statements; 0 is the highest.
	Priority int
}

// turn returns the place of work that arrived at the time.
func (d Database) turn(arrived time.Time) admission.QueuedRequest {
	t := admission.QueuedRequest{Priority: d.Priority, Arrived: arrived, Deadline: arrived.Add(d.Timeout)}
	if d.Objective > 0 {
		t.Objective = arrived.Add(d.Objective)
	}
	return t
}

// Group is the configuration of one database group.
type Group struct {
	Name string
	// MaxConnections limits the connections of all hosts to one endpoint.
	MaxConnections int
	// SyncReplicas is how many replicas confirm a commit.
	SyncReplicas int
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version   uint64
	Databases map[string]Database
	Groups    map[string]Group
	// IdleTransaction is how long a transaction may rest.
	IdleTransaction time.Duration
}
