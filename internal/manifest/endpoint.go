package manifest

// Endpoint is one database server of a pool.
type Endpoint struct {
	Name string `json:"name"`
	// Address is the server's IP and port.
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	// Slots is the number of statements that may run at once.
	Slots int `json:"slots"`
	// Connections is the largest number of open connections, including control
	// connections.
	Connections int `json:"connections"`
	// Leaving is true if the endpoint must get no new work.
	Leaving bool `json:"leaving,omitempty"`
}
