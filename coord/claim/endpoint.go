package claim

// Endpoint is one database server of the group.
type Endpoint struct {
	Address string
	// Leaving endpoints are not chosen as primary unless they hold the only most
	// advanced log.
	Leaving bool
}
