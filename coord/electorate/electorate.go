// Package electorate decides which hosts count towards majorities, and how that set
// changes while some hosts do not know of the change.
//
// Two majorities have a host in common only if they are majorities of the same set. The
// set is therefore an explicit record that changes by conditional writes, one at a time:
//
//  1. A change names the new voters and keeps the former ones. Until step 2, decisions
//     need a majority of both sets.
//  2. Once a majority of the former voters knows the change, the former voters are dropped. If
//     too few of them answer, they are dropped once hosts that do not know the change cannot be
//     permitted to use primaries any more (permission.Horizon).
//
// A host that still uses an older record needs a majority of its voters. After step 2 such a
// majority includes a host that knows the change and passes it on. Before step 2 it has a
// host in common with every majority of the former voters, which each decision needs. The
// new voters of an uncompleted change may be replaced by others, since the former voters
// stay the same.
package electorate

import (
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/lease"
	"github.com/beryltrestle/beryltrestle/coord/permission"
)

// MaxVoters limits the number of voters, so that the record of a change fits into one row
// of the store.
const MaxVoters = 1000

// Electorate is the set of hosts that count towards majorities, by address. The zero value
// has no voters.
type Electorate struct {
	// Voters are the hosts that count, in ascending order.
	Voters []string `json:"voters"`
	// Former are the voters before an uncompleted change; nil if there is none.
	Former []string `json:"former,omitempty"`
}

// New returns an electorate of the hosts. If there are more than MaxVoters, voters of the
// present electorate are kept before others.
func New(hosts, present []string) Electorate { return Electorate{Voters: limit(hosts, present)} }

// limit returns at most MaxVoters of the hosts, present ones first, in ascending order.
func limit(hosts, present []string) []string {
	voters := slices.Clone(hosts)
	slices.Sort(voters)
	voters = slices.Compact(voters)
	if len(voters) <= MaxVoters {
		return voters
	}
	kept := make(map[string]bool, len(present))
	for _, host := range present {
		kept[host] = true
	}
	slices.SortStableFunc(voters, func(a, b string) int {
		switch {
		case kept[a] == kept[b]:
			return 0
		case kept[a]:
			return -1
		}
		return 1
	})
	voters = voters[:MaxVoters]
	slices.Sort(voters)
	return voters
}

// Changing reports whether a change is not completed.
func (e Electorate) Changing() bool { return len(e.Former) > 0 }

// Includes reports whether the host is among the voters or the former voters.
func (e Electorate) Includes(host string) bool {
	return slices.Contains(e.Voters, host) || slices.Contains(e.Former, host)
}

// InForce returns the voters of the last completed record.
func (e Electorate) InForce() []string {
	if e.Changing() {
		return e.Former
	}
	return e.Voters
}

// Sets returns the sets of which each decision needs a majority.
func (e Electorate) Sets() [][]string {
	switch {
	case e.Changing():
		return [][]string{e.Voters, e.Former}
	case len(e.Voters) > 0:
		return [][]string{e.Voters}
	}
	return nil
}

// Change returns the record that begins the change to the given hosts, or that replaces the
// new voters of an uncompleted change.
func (e Electorate) Change(hosts []string) Electorate {
	former := e.InForce()
	next := Electorate{Voters: limit(hosts, former), Former: former}
	if slices.Equal(next.Voters, next.Former) {
		next.Former = nil
	}
	return next
}

// Complete returns the record that completes the change.
func (e Electorate) Complete() Electorate { return Electorate{Voters: e.Voters} }

// Equal reports whether both records are the same.
func (e Electorate) Equal(other Electorate) bool {
	return slices.Equal(e.Voters, other.Voters) && slices.Equal(e.Former, other.Former)
}

// Vote says how a voter counts for a decision.
type Vote int

// Votes. A voter that has left ended by itself, and answers nobody any more unless it
// becomes known to this decision first. It does not count.
const (
	VoteMissing Vote = iota
	VoteAgrees
	VoteLeft
)

// Quorum reports whether enough voters of each set agree: a majority, or half of them
// including the first one that has not left. Any quorum has a host in common with a
// majority of the whole set, on which a permission rests. The first host keeps two halves
// from deciding in turn.
func (e Electorate) Quorum(vote func(host string) Vote) bool {
	for _, set := range e.Sets() {
		if !quorum(set, vote) {
			return false
		}
	}
	return true
}

// quorum is Quorum for one set.
func quorum(set []string, vote func(host string) Vote) bool {
	count, agreed, firstAgrees := 0, 0, false
	for _, host := range set {
		v := vote(host)
		if v == VoteLeft {
			continue
		}
		if v == VoteAgrees {
			agreed++
			firstAgrees = firstAgrees || count == 0
		}
		count++
	}
	if count == 0 {
		// All voters have left, so that nobody can have a majority of them any more.
		return true
	}
	return agreed >= lease.Majority(count) || firstAgrees && 2*agreed == count
}

// MayComplete reports whether enough former voters know the change to complete it.
func (e Electorate) MayComplete(vote func(host string) Vote) bool {
	return e.Changing() && quorum(e.Former, vote)
}

// MayCompleteAt reports whether a change of the given age may be completed: enough former voters
// know it, or hosts that do not know it cannot be permitted any more.
func (e Electorate) MayCompleteAt(age time.Duration, vote func(host string) Vote) bool {
	return e.Changing() && concluded(e.Former, age, vote)
}

// ConcludedAt reports whether nobody can decide or be permitted without the voters that agree: a
// quorum of each set does, or the permissions of hosts that do not know of the event on which these
// agree have ended, the given time after it.
func (e Electorate) ConcludedAt(age time.Duration, vote func(host string) Vote) bool {
	for _, set := range e.Sets() {
		if !concluded(set, age, vote) {
			return false
		}
	}
	return true
}

// concluded is ConcludedAt for one set.
func concluded(set []string, age time.Duration, vote func(host string) Vote) bool {
	agreed := 0
	for _, host := range set {
		if vote(host) == VoteAgrees {
			agreed++
		}
	}
	return quorum(set, vote) || age >= permission.Horizon(len(set), agreed)
}

// Completed returns the last completed record. A quorum of it may replace the new voters of an
// uncompleted change.
func (e Electorate) Completed() Electorate { return Electorate{Voters: e.InForce()} }
