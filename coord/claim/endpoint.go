package claim

// Endpoint is one database server of the group.
type Endpoint struct {
	Address string
	// Leaving marks an endpoint that leaves the group. It is promoted only if no other
	// endpoint has as advanced a log.
	Leaving bool
}
