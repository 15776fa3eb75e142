package database

import "time"

// Faults are the properties of an endpoint that can change while it runs.
type Faults struct {
	// ReceiveLag is the least time from a commit on the primary to the entry's
	// arrival in this replica's log.
	ReceiveLag time.Duration
	// ApplyLag is the least time from an entry's arrival to its application.
	ApplyLag time.Duration
	// ServiceTime is how long each statement occupies its slot.
	ServiceTime time.Duration
	// Cut stops all answers to clients and all replication. TCP connections are
	// still accepted, and requests are held until the cut ends.
	Cut bool
	// CutClients is Cut for clients and control only.
	CutClients bool
	// CutReplication stops sending and receiving the log.
	CutReplication bool
	// Paused stops the endpoint between any two of its steps, as a suspended
	// process does.
	Paused bool
}

func (f Faults) clientsBlocked() bool { return f.Paused || f.Cut || f.CutClients }

func (f Faults) replicationBlocked() bool { return f.Paused || f.Cut || f.CutReplication }

func (f Faults) paused() bool { return f.Paused }
