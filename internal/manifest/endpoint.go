package manifest

// Endpoint is one database server of a pool.
type Endpoint struct {
	Name string `json:"name"`
	// Address is IP and port.
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	// Slots is the number of statements that may run at once.
	Slots int `json:"slots"`
	// Connections is the largest number of open connections, control included.
	Connections int `json:"connections"`
	// Leaving endpoints get no new work.
	Leaving bool `json:"leaving,omitempty"`
}
