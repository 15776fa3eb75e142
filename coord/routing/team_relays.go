package routing

import "github.com/beryltrestle/beryltrestle/coord/placement"

const (
	// twoRelaysShare and allRelaysShare are the parts of all work from which a team uses two
	// relay hosts of an endpoint, or all of them. With three relay hosts, a team of a tenth of
	// the work on one of them would be a third of what the others have on top.
	twoRelaysShare = 1.0 / 30
	allRelaysShare = 1.0 / 10
)

// TeamRelays returns the relay hosts that a team uses for an endpoint, from those that are
// available. A connection to an endpoint belongs to one team, so that a small team should use
// few relay hosts: if its statements were spread over all of them, every relay host would need
// a connection for every team. share is the team's part of all work.
func TeamRelays(team string, share float64, endpoint string, available []string) []string {
	n := 1
	switch {
	case share >= allRelaysShare:
		return available
	case share >= twoRelaysShare:
		n = 2
	}
	return placement.RankNames(team+" "+endpoint, available, n)
}
