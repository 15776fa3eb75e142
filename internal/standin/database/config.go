package database

import "time"

// Defaults of a Config.
const (
	defaultSlots              = 3
	defaultConnections        = 50
	defaultIdleInTransaction  = 10 * time.Second
	defaultControlConnections = 32
)

// Config describes one endpoint.
type Config struct {
	// Listen is the address to listen on, IP and port; port 0 picks a free one.
	Listen string
	// AdminListen is the address of the HTTP server with the fault switches;
	// empty for none.
	AdminListen string
	// DataDir holds term, log and tables. It must exist.
	DataDir string
	// Follow is the address of the primary to follow at the first start. An empty
	// one makes the endpoint the initial primary. It is ignored if DataDir holds
	// the state of an earlier run.
	Follow string
	// Slots is the number of statements that run at once; more wait in order.
	Slots int
	// Connections is the largest number of client connections. Connections of
	// the users ControlUser and ReplicationUser have a limit of their own.
	Connections int
	// ConnectDelay is the time from a startup message to its answer.
	ConnectDelay time.Duration
	// IdleInTransaction is how long a connection may be idle inside a transaction
	// before it is rolled back and closed.
	IdleInTransaction time.Duration
	// Faults are the initial lags, service time and faults.
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
