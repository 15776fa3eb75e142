package quota

import (
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/placement"
)

// rolesKept is how long an electorate that was replaced is remembered. It only matters for
// when a bucket of a team that was not asked for before counts as full.
const rolesKept = time.Minute

// Lenders returns up to n voters that lend for the team, in order of rank.
func Lenders(team string, voters []string, n int) []string {
	hosts := make([]placement.Host, len(voters))
	for i, address := range voters {
		hosts[i].Name = address
	}
	ranked := placement.Rank("lender of "+team, hosts, n)
	out := make([]string, len(ranked))
	for i, h := range ranked {
		out[i] = h.Name
	}
	return out
}

// view is the electorate as this host knows it from a time on.
type view struct {
	since time.Time
	// sets holds the voters and, until a change is completed, the former voters.
	sets [][]string
	// divisors caches divisor by team.
	divisors map[string]int
}

// divisor returns the number of lenders that share the team's limit if the host is one of them
// in each set of voters, otherwise 0.
func (v *view) divisor(team, self string, lenders int) int {
	if d, ok := v.divisors[team]; ok {
		return d
	}
	d := 0
	for _, voters := range v.sets {
		ranked := Lenders(team, voters, lenders)
		if !slices.Contains(ranked, self) {
			d = 0
			break
		}
		d = max(d, len(ranked))
	}
	v.divisors[team] = d
	return d
}

// roles tells for which teams a host lends, and since when.
type roles struct {
	self string
	// views are in ascending order of time; the last one is in force.
	views []*view
}

// set records the electorate as of now. Without sets nobody lends.
func (r *roles) set(now time.Time, self string, sets [][]string) {
	if self != r.self {
		r.self, r.views = self, nil
	}
	r.views = append(r.views, &view{since: now, sets: sets, divisors: make(map[string]int)})
	for len(r.views) > 1 && now.Sub(r.views[1].since) > rolesKept {
		r.views = r.views[1:]
	}
}

// forgetDivisors makes the roles be computed again, after limits have changed.
func (r *roles) forgetDivisors() {
	for _, v := range r.views {
		clear(v.divisors)
	}
}

// divisor returns the number of lenders that share the team's limit if this host may lend now,
// otherwise 0. It is the largest one of the last RoleDelay, so that a share that rises takes
// effect after the delay and one that falls at once.
func (r *roles) divisor(now time.Time, team string, lenders int) int {
	largest := 0
	for _, v := range slices.Backward(r.views) {
		d := v.divisor(team, r.self, lenders)
		if d == 0 {
			return 0
		}
		largest = max(largest, d)
		if now.Sub(v.since) >= RoleDelay {
			return largest
		}
	}
	return 0
}

// since returns since when this host may lend for the team, which it may now.
func (r *roles) since(team string, lenders int) time.Time {
	var first time.Time
	for _, v := range slices.Backward(r.views) {
		if v.divisor(team, r.self, lenders) == 0 {
			break
		}
		first = v.since
	}
	return first.Add(RoleDelay)
}
