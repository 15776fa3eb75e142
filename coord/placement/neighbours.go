package placement

import (
	"strconv"
	"time"
)

// NeighbourEpoch is how long a host keeps the same neighbours. A connection
// between daemons costs more than the messages of a minute on it.
const NeighbourEpoch = 2 * time.Minute

// Neighbours returns n pseudo-random hosts other than self, or all if there are fewer.
// They stay the same for NeighbourEpoch if the hosts do not change. Gossip that each host
// sends to its neighbours reaches all hosts in a number of rounds that grows with the
// logarithm of the number of hosts.
func Neighbours(self string, now time.Time, hosts []Host, n int) []Host {
	epoch := now.UnixNano() / int64(NeighbourEpoch)
	ranked := Rank("neighbours/"+self+"/"+strconv.FormatInt(epoch, 10), hosts, n+1)
	others := ranked[:0]
	for _, h := range ranked {
		if h.Name != self && len(others) < n {
			others = append(others, h)
		}
	}
	return others
}
