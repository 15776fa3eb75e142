package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/coord/permission"
)

const (
	simZones = 3
	// simRefresh is how often a host reads the store, or asks the voters if it can't.
	simRefresh = 250 * time.Millisecond
	// simCallTimeout is lendTimeout of internal/gateway.
	simCallTimeout = 200 * time.Millisecond
	// simCallBytes is the assumed size of a call and its answer with all headers.
	simCallBytes = 300
)

// simulation is a fleet of hosts in virtual time.
type simulation struct {
	rng     *rand.Rand
	elapsed time.Duration
	order   int
	events  simEvents
	hosts   []*simHost
	teams   []*simTeam
	// byAddress and teamOf are the hosts and teams by name.
	byAddress map[string]*simHost
	teamOf    map[string]*simTeam
	// records are the versions of the electorate in the store, from version 1 on.
	records []Electorate
	// limits is the newest configuration.
	limits  map[string]Limit
	limiter limiterKind
	// loss is the share of the calls that are lost.
	loss float64
	// slow is by how much calls are delayed at most in each direction.
	slow time.Duration
	// reachable tells which hosts reach each other, storeReachable which ones reach the store.
	reachable      func(a, b *simHost) bool
	storeReachable func(h *simHost) bool
	// arrivesAt chooses the host of an operation.
	arrivesAt func() *simHost
	// calls is the number of calls to other hosts.
	calls int
}

// simHost is one host.
type simHost struct {
	address     string
	zone        int
	up          bool
	incarnation int
	frozenUntil time.Duration
	lender      *Lender
	borrower    *Borrower
	// version is the newest version of the electorate that the host knows.
	version int
	// storedAsOf is when the store was read last, by the host or by one that has answered it.
	storedAsOf     time.Time
	permittedUntil time.Time
	// answered holds when the other voters answered.
	answered map[string]time.Time
	waiting  map[string]int
	// sleeping are the operations that wait for an answer of a lender, by team.
	sleeping map[string][]sleeper
	// local are the buckets of the limiters without lenders.
	local map[string]*bucket
}

// newSimulation returns a simulation of hosts that start together and are voters.
func newSimulation(seed uint64, hosts int) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), byAddress: make(map[string]*simHost), teamOf: make(map[string]*simTeam), limits: make(map[string]Limit)}
	s.reachable = func(_, _ *simHost) bool { return true }
	s.storeReachable = func(*simHost) bool { return true }
	s.arrivesAt = func() *simHost { return s.hosts[s.rng.IntN(len(s.hosts))] }
	var voters []string
	for range hosts {
		voters = append(voters, s.addHost().address)
	}
	s.records = []Electorate{{Version: 1, Sets: electorate.New(voters, nil).Sets()}}
	return s
}

// addHost adds a host that has not started.
func (s *simulation) addHost() *simHost {
	h := &simHost{address: fmt.Sprintf("10.0.%d.%d:1", len(s.hosts)/250, len(s.hosts)%250), zone: len(s.hosts) % simZones}
	s.hosts = append(s.hosts, h)
	s.byAddress[h.address] = h
	return h
}

// start starts a host without memory of an earlier incarnation.
func (s *simulation) start(h *simHost) {
	if h.up {
		return
	}
	h.up, h.frozenUntil, h.version, h.storedAsOf, h.permittedUntil = true, 0, 0, time.Time{}, time.Time{}
	h.answered, h.waiting = make(map[string]time.Time), make(map[string]int)
	h.sleeping, h.local = make(map[string][]sleeper), make(map[string]*bucket)
	h.lender = NewLender(rules)
	h.borrower = NewBorrower(rules, func(team string, lenders []string) []string {
		return PreferredOrder(h.address, team, lenders, func(address string) bool { return s.byAddress[address].zone == h.zone })
	})
	h.lender.SetLimits(s.limits)
	h.borrower.SetLimits(s.limits)
	s.on(h, s.between(0, simRefresh), func() { s.refresh(h) })
}

// kill ends a host.
func (s *simulation) kill(h *simHost) {
	if h.up {
		h.up = false
		h.incarnation++
	}
}

// refresh renews what a host knows of the electorate, and its permission.
func (s *simulation) refresh(h *simHost) {
	s.on(h, simRefresh, func() { s.refresh(h) })
	began := s.now()
	if s.storeReachable(h) {
		version := len(s.records)
		s.on(h, s.between(2*time.Millisecond, 20*time.Millisecond), func() {
			s.learn(h, version)
			h.storedAsOf = began
			s.permit(h, began.Add(permission.Duration))
		})
		return
	}
	if h.version == 0 {
		// A host that has restarted counts for no majority before it has read the store.
		return
	}
	s.on(h, s.between(2*time.Millisecond, 20*time.Millisecond), func() {
		for version := 0; version != h.version; {
			version = h.version
			for _, set := range s.records[version-1].Sets {
				for _, address := range set {
					o := s.byAddress[address]
					if o == h || !o.up || o.version == 0 || s.elapsed < o.frozenUntil || !s.reachable(h, o) {
						continue
					}
					s.learn(h, o.version)
					h.answered[address] = began
					if o.storedAsOf.After(h.storedAsOf) {
						h.storedAsOf = o.storedAsOf
					}
				}
			}
		}
		var sets []permission.Voters
		for _, set := range s.records[h.version-1].Sets {
			var voters permission.Voters
			for _, address := range set {
				if address == h.address {
					voters.Self = true
					continue
				}
				voters.Answered = append(voters.Answered, h.answered[address])
			}
			sets = append(sets, voters)
		}
		s.permit(h, permission.Until(time.Time{}, h.storedAsOf, sets...))
	})
}

// learn tells a host of the electorate.
func (s *simulation) learn(h *simHost, version int) {
	if version <= h.version {
		return
	}
	h.version = version
	record := s.records[version-1]
	h.lender.SetElectorate(s.now(), h.address, record)
	h.borrower.SetVoters(record.Sets[len(record.Sets)-1])
}

// permit extends the permission of a host.
func (s *simulation) permit(h *simHost, until time.Time) {
	if until.After(h.permittedUntil) {
		h.permittedUntil = until
	}
}

// changeElectorate begins a change to the given voters, and completes it once a quorum of the
// former ones knows it.
func (s *simulation) changeElectorate(voters []string) {
	present := s.records[len(s.records)-1]
	next := electorateOf(present).Change(voters)
	if next.Equal(electorateOf(present)) {
		return
	}
	base := present.Version
	if len(present.Sets) > 1 {
		base = present.Base
	}
	s.write(base, next)
}

// write writes a version of the electorate.
func (s *simulation) write(base uint64, e electorate.Electorate) {
	version := len(s.records) + 1
	s.records = append(s.records, Electorate{Version: uint64(version), Base: base, Sets: e.Sets()})
	if e.Changing() {
		s.complete(version, e)
	}
}

// complete completes a change as soon as possible, unless it has been replaced.
func (s *simulation) complete(version int, e electorate.Electorate) {
	s.after(50*time.Millisecond, func() {
		switch {
		case len(s.records) != version:
		case e.MayComplete(func(address string) electorate.Vote {
			if s.byAddress[address].version >= version {
				return electorate.VoteAgrees
			}
			return electorate.VoteMissing
		}):
			s.write(s.records[version-1].Base, e.Complete())
		default:
			s.complete(version, e)
		}
	})
}

// electorateOf returns the record of a version.
func electorateOf(e Electorate) electorate.Electorate {
	out := electorate.Electorate{Voters: e.Sets[0]}
	if len(e.Sets) > 1 {
		out.Former = e.Sets[1]
	}
	return out
}

// setLimits publishes limits, which hosts learn within 5 s.
func (s *simulation) setLimits(limits map[string]Limit) {
	s.limits = limits
	for team, limit := range limits {
		s.teamOf[team].setLimit(s.elapsed, limit)
	}
	for _, h := range s.hosts {
		s.on(h, s.between(0, 5*time.Second), func() {
			h.lender.SetLimits(limits)
			h.borrower.SetLimits(limits)
			for team := range limits {
				s.teamOf[team].knownAt = s.elapsed
			}
		})
	}
}

// call calls a host, which handles the call and answers. answered is called with false if there
// is no answer in time.
func (s *simulation) call(from, to *simHost, handle func() Grant, answered func(Grant, bool)) {
	if from == to {
		s.on(from, 0, func() { answered(handle(), true) })
		return
	}
	s.calls++
	ended := false
	end := func(g Grant, ok bool) {
		if !ended {
			ended = true
			answered(g, ok)
		}
	}
	s.on(from, simCallTimeout, func() { end(Grant{}, false) })
	delay := func() time.Duration {
		slow := s.between(0, s.slow)
		if from.zone == to.zone {
			return slow + s.between(500*time.Microsecond, time.Millisecond)
		}
		return slow + s.between(time.Millisecond, 4*time.Millisecond)
	}
	lost := func() bool { return s.rng.Float64() < s.loss || !s.reachable(from, to) }
	if lost() || !to.up {
		return
	}
	s.on(to, delay(), func() {
		if g := handle(); !lost() {
			s.on(from, delay(), func() { end(g, true) })
		}
	})
}
