package electorate_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
)

// votesOf returns the votes of hosts of which the given ones agree and have left.
func votesOf(agree, left []string) func(string) electorate.Vote {
	return func(host string) electorate.Vote {
		switch {
		case slices.Contains(left, host):
			return electorate.VoteLeft
		case slices.Contains(agree, host):
			return electorate.VoteAgrees
		}
		return electorate.VoteMissing
	}
}

// Guards against decisions that need too few hosts: a majority of the new voters alone
// while a change is not completed, or half of the hosts on both sides of a partition.
func TestQuorum(t *testing.T) {
	g := NewWithT(t)
	e := electorate.New([]string{"a", "b", "c", "d"}, nil)
	g.Expect(e.Quorum(votesOf([]string{"b", "c", "d"}, nil))).To(BeTrue())
	g.Expect(e.Quorum(votesOf([]string{"a", "d"}, nil))).To(BeTrue())
	g.Expect(e.Quorum(votesOf([]string{"b", "c"}, nil))).To(BeFalse())
	g.Expect(e.Quorum(votesOf([]string{"b", "c"}, []string{"a"}))).To(BeTrue())
	g.Expect(e.Quorum(votesOf(nil, []string{"a", "b", "c", "d"}))).To(BeTrue(), "a fleet that was replaced as a whole must be able to decide")
	e = e.Change([]string{"c", "d", "e", "f", "g"})
	g.Expect(e.Quorum(votesOf([]string{"d", "e", "f", "g"}, nil))).To(BeFalse())
	g.Expect(e.Quorum(votesOf([]string{"a", "b", "c", "d"}, nil))).To(BeFalse())
	g.Expect(e.Quorum(votesOf([]string{"a", "c", "d", "e"}, nil))).To(BeTrue())
	g.Expect(e.MayComplete(votesOf([]string{"b", "c", "d"}, nil))).To(BeTrue())
	g.Expect(e.MayComplete(votesOf([]string{"d", "e", "f", "g"}, nil))).To(BeFalse())
	g.Expect(e.Change([]string{"b", "a", "d", "c", "a"})).To(Equal(electorate.New([]string{"a", "b", "c", "d"}, nil)))
}

// Guards against a record that does not fit into one row of the store.
func TestNumberOfVotersIsLimited(t *testing.T) {
	g := NewWithT(t)
	var hosts []string
	for n := range 3 * electorate.MaxVoters {
		hosts = append(hosts, fmt.Sprintf("10.1.%d.%d:8782", n/250, n%250))
	}
	present := hosts[2*electorate.MaxVoters:]
	e := electorate.New(present, nil).Change(hosts)
	g.Expect(e.Voters).To(HaveLen(electorate.MaxVoters))
	g.Expect(e.Voters).To(ConsistOf(present))
}

// Guards against a change of the voters after which a permission and a decision no longer
// have a host in common. Each host knows one of the records; one that a majority of its
// voters answers learns of newer ones that any of these knows.
func TestPermissionAndDecisionHaveAHostInCommon(t *testing.T) {
	g := NewWithT(t)
	const seeds, changes = 300, 6
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 3))
		subset := func(share float64) (out []string) {
			for n := range 9 {
				if random.Float64() < share {
					out = append(out, fmt.Sprint("h", n))
				}
			}
			return out
		}
		records := []electorate.Electorate{electorate.New(append(subset(0.4), "h0"), nil)}
		known := make(map[string]int)
		for range changes {
			latest := len(records) - 1
			for _, host := range subset(0.5) {
				known[host] = latest
			}
			e := records[latest]
			knows := func(host string) electorate.Vote {
				if known[host] == latest {
					return electorate.VoteAgrees
				}
				return electorate.VoteMissing
			}
			switch {
			case e.MayComplete(knows):
				records = append(records, e.Complete())
			case !e.Changing() || random.IntN(3) == 0:
				records = append(records, e.Change(append(subset(0.5), "h0")))
			}
			deciding, answering := subset(0.6), subset(0.6)
			if !records[len(records)-1].Quorum(votesOf(deciding, nil)) {
				continue
			}
			for version, r := range records {
				if !isPermitted(r, answering) || slices.ContainsFunc(answering, func(h string) bool { return known[h] > version }) {
					continue
				}
				common := slices.ContainsFunc(answering, func(h string) bool { return slices.Contains(deciding, h) })
				g.Expect(common).To(BeTrue(), "seed %d: permission by %v with record %d of %v, decision by %v", seed, answering, version, records, deciding)
			}
		}
	}
}

// isPermitted reports whether the hosts are a majority of each set.
func isPermitted(e electorate.Electorate, answering []string) bool {
	for _, set := range e.Sets() {
		n := 0
		for _, host := range set {
			if slices.Contains(answering, host) {
				n++
			}
		}
		if 2*n <= len(set) {
			return false
		}
	}
	return true
}
