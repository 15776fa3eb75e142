package access_test

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/access"
)

// Guards against a faulty entry that is taken over in part, and against one whose fault is not
// named: a key that is in two teams would let one team use the limit of the other.
func TestFaultyEntriesAreNamed(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		field   string
		entries []access.Entry
	}{
		{"Keys", []access.Entry{{Name: "a", Keys: []string{"k"}}, {Name: "b"}}},
		{"Keys", []access.Entry{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"k"}}}},
		{"Keys", []access.Entry{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{""}}}},
		{"Name", []access.Entry{{Name: "a", Keys: []string{"k"}}, {Name: "a", Keys: []string{"l"}}}},
		{"Rate", []access.Entry{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"l"}, Rate: -1}}},
		{"Rate", []access.Entry{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"l"}, Rate: math.NaN()}}},
		{"Burst", []access.Entry{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"l"}, Burst: 1e12}}},
	} {
		_, err := access.NewDirectory(c.entries)
		var fault *access.EntryError
		g.Expect(errors.As(err, &fault)).To(BeTrue())
		g.Expect(fault.Index).To(Equal(1))
		g.Expect(fault.Field).To(Equal(c.field))
	}
}

// Guards against a team that is not found by one of its keys, against shares that do not follow
// the rates, and against a configuration that is refused because all keys of a team have been
// withdrawn: the withdrawal would not take effect, and a host that starts would have none.
func TestDirectoryFindsTeams(t *testing.T) {
	g := NewWithT(t)
	d, err := access.NewDirectory([]access.Entry{{Name: "a", Keys: []string{"k", "l"}, Rate: 3}, {Name: "b", Keys: []string{"m"}, Rate: 1}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = access.NewDirectory([]access.Entry{{Name: "a", Keys: []string{}}})
	g.Expect(err).NotTo(HaveOccurred())
	team, ok := d.TeamOfKey("l")
	g.Expect(ok).To(BeTrue())
	g.Expect(team).To(Equal(access.Team{Name: "a", Rate: 3, Share: 0.75}))
	_, ok = d.TeamOfKey("a")
	g.Expect(ok).To(BeFalse())
	_, ok = (*access.Directory)(nil).TeamOfKey("k")
	g.Expect(ok).To(BeFalse())
}

// Guards against a withdrawn key that works after the bound, whatever the delays: of the read
// that proves the configuration, of its way over other hosts, of a freeze between any two steps.
func TestWithdrawnKeyStopsWithinBound(t *testing.T) {
	g := NewWithT(t)
	p := access.Policy{Revocation: 5 * time.Second, Application: 5 * time.Second}
	random := rand.New(rand.NewPCG(1, 1))
	delay := func() time.Duration { return time.Duration(random.Int64N(int64(6 * time.Second))) }
	accepted := 0
	for range 100_000 {
		acknowledged := delay()
		readSent := delay()
		heldInRead := readSent+delay()/4 < acknowledged
		statementSent := delay() * 3
		acceptedAt := max(statementSent, readSent) + delay()/4
		if p.Decide(heldInRead, acceptedAt-readSent) != access.Accepted {
			continue
		}
		accepted++
		g.Expect(statementSent).To(BeNumerically("<=", acknowledged+p.Revocation))
	}
	g.Expect(accepted).To(BeNumerically(">", 1000))
}

// Guards against a host that says that a key does not exist although it may have been added,
// and against a host without any proof that accepts keys.
func TestHostWithoutProofDecidesNothing(t *testing.T) {
	g := NewWithT(t)
	p := access.Policy{Revocation: 5 * time.Second, Application: 3 * time.Second}
	g.Expect(p.Decide(true, -1)).To(Equal(access.Unproven))
	g.Expect(p.Decide(false, -1)).To(Equal(access.Unproven))
	g.Expect(p.Decide(false, 4*time.Second)).To(Equal(access.Unproven))
	g.Expect(p.Decide(false, 2*time.Second)).To(Equal(access.Rejected))
	g.Expect(p.Decide(true, 5*time.Second)).To(Equal(access.Accepted))
	g.Expect(p.Decide(true, 5*time.Second+1)).To(Equal(access.Unproven))
	g.Expect(access.Policy{Application: time.Second}.Decide(true, -1)).To(Equal(access.Accepted))
}
