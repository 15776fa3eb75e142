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
	return placement.RankNames("lender of "+team, voters, n)
}

// PreferredOrder returns the lenders of a team in the order in which a host asks them: near ones
// first, and otherwise in an order that differs from host to host.
func PreferredOrder(host, team string, lenders []string, near func(address string) bool) []string {
	var first, rest []string
	for _, address := range placement.RankNames(host+" asks for "+team, lenders, len(lenders)) {
		if near(address) {
			first = append(first, address)
			continue
		}
		rest = append(rest, address)
	}
	return append(first, rest...)
}

// Electorate is a record of the electorate.
type Electorate struct {
	// Version is the record's version, Base that of the completed record that it changes, or
	// whose change it completes; 0 if it is not known.
	Version, Base uint64
	// Sets holds the voters and, until a change is completed, the former voters.
	Sets [][]string
}

// follows reports whether no electorate was completed between the earlier record and this one,
// except for the one that this record completes.
func (e Electorate) follows(earlier Electorate) bool {
	completed := earlier.Version
	if len(earlier.Sets) > 1 {
		completed = earlier.Base
	}
	return e.Base != 0 && e.Base == completed
}

// view is the electorate as this host knows it from a time on.
type view struct {
	since  time.Time
	record Electorate
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
	for _, voters := range v.record.Sets {
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

// transition is the effect of a record of the electorate.
type transition int

const (
	// unchanged: the record was known.
	unchanged transition = iota
	// continued: the record follows the one that was known.
	continued
	// restarted: there may have been a completed electorate in between.
	restarted
)

// set records the electorate as of now. If the host does not know that no other electorate was
// completed in between, it begins anew as a lender: another host may have lent under that one.
func (r *roles) set(now time.Time, self string, e Electorate) transition {
	next := &view{since: now, record: e, divisors: make(map[string]int)}
	switch last := r.last(); {
	case self == r.self && last != nil && e.Version == last.record.Version:
		return unchanged
	case self != r.self || last == nil || !e.follows(last.record):
		r.self, r.views = self, []*view{next}
		return restarted
	}
	r.views = append(r.views, next)
	for len(r.views) > 1 && now.Sub(r.views[1].since) > rolesKept {
		r.views = r.views[1:]
	}
	return continued
}

// settle moves the beginning of the only view back by RoleDelay.
func (r *roles) settle(now time.Time, version uint64) {
	if len(r.views) != 1 || r.views[0].record.Version != version {
		return
	}
	if settled := now.Add(-RoleDelay); settled.Before(r.views[0].since) {
		r.views[0].since = settled
	}
}

// last returns the view in force, or nil.
func (r *roles) last() *view {
	if len(r.views) == 0 {
		return nil
	}
	return r.views[len(r.views)-1]
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
