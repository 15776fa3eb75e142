package gateway

import "time"

// readersGroup is the name by which hosts are ranked as readers of the store. The
// first ones read it, and the others hear from them; a host reads it itself when
// what it has heard is older than its patience, which grows with its rank, so that
// the calls do not grow with the number of hosts.
const readersGroup = "store-readers"

// patience says at which age of its mirror a host reads a table.
type patience struct {
	// readers is the number of hosts that read all the time, every first.
	readers int
	first   time.Duration
	// rest is the age at which the next host reads, step what each further host waits
	// longer, and most the bound.
	rest, step, most time.Duration
}

var (
	// claimsPatience keeps the claims younger than the permission to use primaries,
	// with time for a read and its answer.
	claimsPatience = patience{readers: 1, first: 400 * time.Millisecond, rest: 900 * time.Millisecond, step: 100 * time.Millisecond, most: readPatienceMax}
	// feedPatience leaves most of a second of the shortest time in which a
	// configuration must be in force, if all readers fail at once.
	feedPatience = patience{readers: 2, rest: 2000 * time.Millisecond, step: 100 * time.Millisecond, most: 2300 * time.Millisecond}
)

// readPatienceMax is the age of the claims at which every host reads them. The rest of
// a permission (permission.Duration) is for the read.
const readPatienceMax = 1150 * time.Millisecond

// due reports whether a host should read a table whose mirror has the age. rank is
// called only if it decides, since it orders all hosts.
func (p patience) due(age time.Duration, rank func() int) bool {
	return age >= p.first && (age >= p.most || age >= p.of(rank()))
}

// of returns the patience of the host of the rank.
func (p patience) of(rank int) time.Duration {
	if rank < p.readers {
		return p.first
	}
	return min(p.rest+time.Duration(rank-p.readers)*p.step, p.most)
}
