package database

import "time"

// Defaults of a Config.
const (
	defaultSlots             = 3
	defaultConnections       = 50
	defaultIdleInTransaction = 10 * time.Second
	maxInternalConnections   = 32
)

// Config describes one endpoint.
type Config struct {
	// Listen is the address to listen on, IP and port; port 0 picks a free one.
	Listen string
	// AdminListen is the address of the HTTP server for the fault switches; if empty,
	// there is none.
	AdminListen string
	// DataDir is the existing directory for term, log and tables.
	DataDir string
	// Follow is the address of the primary to follow at the first start. If it is
	// empty, the endpoint is the initial primary. It is ignored if DataDir contains the
	// state of an earlier run.
	Follow string
	// Slots is the number of statements that run concurrently. Others wait in order of
	// arrival.
	Slots int
	// Connections is the largest number of client connections. Connections of the
	// users ControlUser and ReplicationUser have a separate limit.
	Connections int
	// ConnectDelay is the time between a startup message and its answer.
	ConnectDelay time.Duration
	// IdleInTransaction is how long a connection may be idle inside a transaction
	// before the transaction is rolled back and the connection is closed.
	IdleInTransaction time.Duration
	// Faults are the initial faults, lags and service time.
	Faults Faults
}

func (c Config) withDefaults() Config {
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.Connections == 0 {
		c.Connections = defaultConnections
	}
	if c.IdleInTransaction == 0 {
		c.IdleInTransaction = defaultIdleInTransaction
	}
	return c
}
