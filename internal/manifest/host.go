package manifest

// Host is a host that runs a daemon.
type Host struct {
	Name string `json:"name"`
	// Address is the daemon's peer address, IP and port.
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	// Capacity is the host's relative weight in placement, from 1 to 1000.
	Capacity int `json:"capacity"`
}
