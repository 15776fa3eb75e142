package membership

import "github.com/beryltrestle/beryltrestle/coord/placement"

// Host is a configured host.
type Host struct {
	placement.Host
	AvailabilityZone string
}

// ListedHost is an entry of the platform's host list.
type ListedHost struct {
	Name    string
	Leaving bool
}

// Heartbeat is what a host reports about itself.
type Heartbeat struct {
	Name        string
	Incarnation uint64
	Leaving     bool
	// ListVersion is the version of the host list that the host uses.
	ListVersion uint64
}
