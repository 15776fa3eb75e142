// Package placement ranks hosts for a group by weighted rendezvous hashing.
//
// Guarantees: the ranking depends only on the group's name and the hosts given,
// so every daemon with the same host list computes the same one; a host that is
// added or removed changes only the rankings that contain it; a host is first
// for a share of the groups proportional to its weight. Placement is a hint:
// safety never depends on two daemons computing the same ranking.
package placement

// Host is one host that may own groups.
type Host struct {
	// Name identifies the host and is what is hashed.
	Name string
	// Address is the daemon's peer address.
	Address string
	// Weight is the host's relative capacity; a weight below 1 counts as 1.
	Weight int
}
