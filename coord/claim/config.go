package claim

// Config is the identity of a daemon towards one group.
type Config struct {
	Group string
	// Address is the daemon's own peer address.
	Address     string
	Incarnation uint64
	// Holder names the daemon process to endpoints. No two processes share it.
	Holder string
	// Seed determines the jitter of back-offs; it should differ between daemons.
	Seed uint64
}
