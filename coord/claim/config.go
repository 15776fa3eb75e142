package claim

// Config identifies a daemon as claimant of one group.
type Config struct {
	Group string
	// Address is the daemon's own peer address.
	Address     string
	Incarnation uint64
	// Holder identifies the daemon process to endpoints. No two processes may have the
	// same one.
	Holder string
	// Seed seeds the jitter of backoffs. It should differ between daemons.
	Seed uint64
}
