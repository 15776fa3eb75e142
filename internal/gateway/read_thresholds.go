package gateway

import "time"

// storeReadersGroup is the group name under which hosts are ranked as readers of the
// store. The hosts ranked first read the store; the others get the tables from them by
// gossip. A host reads a table itself when its mirror is older than a threshold that
// grows with the host's rank, so that the number of store calls does not grow with the
// number of hosts.
const storeReadersGroup = "store-readers"

// readThresholds defines at which age of its mirror a host reads a table from the
// store.
type readThresholds struct {
	// readers is the number of hosts that read regularly, whenever the mirror is
	// readerAge old.
	readers   int
	readerAge time.Duration
	// fallbackAge is the age at which the next host in rank order reads. Each further
	// host waits agePerRank longer, up to maxAge.
	fallbackAge, agePerRank, maxAge time.Duration
}

var (
	// claimsThresholds keeps the mirror of the claims younger than permission.Duration,
	// with time left for a read and its answer.
	claimsThresholds = readThresholds{readers: 1, readerAge: 400 * time.Millisecond, fallbackAge: 900 * time.Millisecond, agePerRank: 100 * time.Millisecond, maxAge: claimsMaxAge}
	// feedThresholds makes every host read early enough that, even if all readers fail
	// at once, most of a second is left of the shortest time within which a new
	// configuration must be in force.
	feedThresholds = readThresholds{readers: 2, fallbackAge: 2000 * time.Millisecond, agePerRank: 100 * time.Millisecond, maxAge: 2300 * time.Millisecond}
)

// listingThresholds returns the thresholds of a table that is only listed and whose mirror must
// not be older than the bound. Gossip adds up to two rounds and the way of the messages to the
// age at which the first reader lists, which is left before the next host reads; what is left of
// the bound after maxAge is for the reads of the other hosts.
func listingThresholds(bound time.Duration) readThresholds {
	return readThresholds{
		readers: 2, readerAge: bound / 6,
		fallbackAge: bound * 5 / 10, agePerRank: bound / 50, maxAge: bound * 6 / 10,
	}
}

// claimsMaxAge is the age of the claims at which every host reads them. The rest of
// permission.Duration is left for the read itself.
const claimsMaxAge = 1150 * time.Millisecond

// due reports whether a host should read a table whose mirror has the given age. rank
// is called only if the result depends on it, because it ranks all hosts.
func (p readThresholds) due(age time.Duration, rank func() int) bool {
	return age >= p.readerAge && (age >= p.maxAge || age >= p.ageFor(rank()))
}

// ageFor returns the age at which the host with the given rank reads.
func (p readThresholds) ageFor(rank int) time.Duration {
	if rank < p.readers {
		return p.readerAge
	}
	return min(p.fallbackAge+time.Duration(rank-p.readers)*p.agePerRank, p.maxAge)
}
