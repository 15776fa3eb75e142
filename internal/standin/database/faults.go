package database

import "time"

// Faults are the faults, lags and the service time of an endpoint. They can change while
// it runs.
type Faults struct {
	// ReceiveLag is the minimum time from a commit on the primary until the entry is
	// in this replica's log.
	ReceiveLag time.Duration
	// ApplyLag is the minimum time from the arrival of an entry until it is applied.
	ApplyLag time.Duration
	// ServiceTime is how long each statement holds its slot.
	ServiceTime time.Duration
	// Cut stops all answers to clients and all replication. TCP connections are still
	// accepted, and requests are held until the fault ends.
	Cut bool
	// CutClients stops answers to clients and to group control, but not replication.
	CutClients bool
	// CutReplication stops sending and receiving the log.
	CutReplication bool
	// Paused stops the endpoint before its next step, like a suspended process.
	Paused bool
}

func (f Faults) clientsBlocked() bool { return f.Paused || f.Cut || f.CutClients }

func (f Faults) replicationBlocked() bool { return f.Paused || f.Cut || f.CutReplication }

func (f Faults) paused() bool { return f.Paused }
