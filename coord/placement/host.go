// Package placement ranks hosts for a group by weighted rendezvous hashing.
//
// Guarantees: The ranking depends only on the group's name and the given hosts, so that
// every daemon with the same host list computes the same ranking. A host that is added or
// removed changes only the rankings that contain it. The share of groups for which a host
// ranks first is proportional to its weight.
//
// Placement is a hint: safety never depends on two daemons computing the same ranking.
package placement

// Host is one host that may own groups.
type Host struct {
	// Name identifies the host. The ranking depends on its hash.
	Name string
	// Address is the daemon's peer address.
	Address string
	// Weight is the host's relative capacity; a weight below 1 counts as 1.
	Weight int
}
