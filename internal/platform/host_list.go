package platform

import "context"

// HostState is the state of a host according to the platform.
type HostState string

// States of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is a host that runs a daemon.
type Host struct {
	Name string `json:"name"`
	// Address is the daemon's peer address, IP and port.
	Address string `json:"address"`
	// AvailabilityZone is the host's zone.
	AvailabilityZone string `json:"availability_zone"`
	// Capacity is the host's relative weight in placement, at least 1.
	Capacity int       `json:"capacity"`
	State    HostState `json:"state"`
}

// HostListSnapshot is one version of the host list.
type HostListSnapshot struct {
	Version uint64 `json:"version"`
	Hosts   []Host `json:"hosts"`
}

// HostList lists live and leaving hosts. The list may be arbitrarily old and is
// used only as a hint.
type HostList interface {
	// Hosts returns the list if its version is above since, otherwise only the
	// version without hosts.
	Hosts(ctx context.Context, since uint64) (HostListSnapshot, error)
}
